# Sourced by the run.sh of each case: run_case PROGRAM RECORD runs one program of review/standins from the
# project's root, for 110 s at most, has it write to RECORD as it goes, and ends all that was started, also when
# the script itself is ended. TROUBLE=0 leaves out the disruption.
end_all() {
    [ -n "${program_pid:-}" ] && kill -9 "$program_pid" 2>/dev/null && wait "$program_pid" 2>/dev/null
    if [ -f "$folder/pids" ]; then
        while read -r pid; do
            case "$(readlink "/proc/$pid/exe")" in */fernglade-mixer) kill -9 "$pid" 2>/dev/null ;; esac
        done < "$folder/pids"
    fi
    rm -rf "$folder"
}

run_case() {
    local program="review/standins/target/release/$1" record="$2" code
    folder="$(mktemp -d)" || exit 2
    trap end_all EXIT
    trap 'echo "the script was ended from outside" >> "$record_path"; exit 2' TERM INT HUP
    record_path="$record"
    : > "$record" || exit 2
    cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
    if [ ! -x "$program" ] || [ ! -x target/release/fernglade-mixer ]; then
        echo "not built: run the deploy file's build and review/build.sh" | tee -a "$record" >&2
        exit 2
    fi
    "$program" "$folder" "$record" &
    program_pid=$!
    # The program ends itself after 110 s; `wait` lets a signal to this script through at once.
    wait "$program_pid"
    code=$?
    program_pid=
    if [ "$code" != 0 ] && [ "$code" != 1 ]; then
        cat "$folder"/*.log >&2 2>/dev/null
        code=2
    fi
    exit "$code"
}
