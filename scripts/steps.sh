# Sourced by scripts that run several steps: each step's output goes to a log of its own, and its name,
# duration and verdict are printed. A failed step's log is printed whole.
step_logs=$(mktemp -d)
trap 'rm -rf "$step_logs"' EXIT

# step NAME COMMAND...: fails when the command fails. May run in the background.
step() {
    local name=$1 begin=$SECONDS status=0 verdict=passed
    shift
    echo "step $name: begun at $(date -u +%T)"
    "$@" >"$step_logs/$name.log" 2>&1 || status=$?
    if [ "$status" -ne 0 ]; then
        verdict="FAILED with $status"
    fi
    {
        flock 9
        if [ "$status" -ne 0 ]; then
            echo "step $name: its log:"
            cat "$step_logs/$name.log"
        fi
        echo "step $name: $verdict after $((SECONDS - begin)) s" | tee -a "$step_logs/verdicts"
    } 9>"$step_logs/lock"
    return "$status"
}

# step_failures: the verdicts, and of each failed step the lines that tell what failed.
step_failures() {
    local name
    cat "$step_logs/verdicts"
    for name in $(sed -n 's/^step \([^:]*\): FAILED.*/\1/p' "$step_logs/verdicts"); do
        echo "step $name:"
        step_lines "$name" '(warning|error): |Failure$|\*\*\*|FAILED|tests failed|^format' | tail -n 40
    done
}

# step_lines NAME PATTERN: what a passed step says in lines that match.
step_lines() {
    grep -E "$2" "$step_logs/$1.log" || true
}
