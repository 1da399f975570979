# Sourced by each case's run.sh: runs one program of review/standins from the project's root, for 115 s at
# most, and ends all mixers that it started. TROUBLE=0 leaves out the disruption.
run_case() {
    local here root folder code
    here="$(cd "$(dirname "$0")" && pwd)"
    root="$(cd "$here/../.." && pwd)"
    folder="$(mktemp -d)" || return 2
    cd "$root" || return 2
    rm -f "$here/record.txt"
    local program="review/standins/target/release/$1"
    if [ ! -x "$program" ] || [ ! -x target/release/fernglade-mixer ]; then
        echo "not built: run the deploy file's build and review/build.sh" >&2
        rm -rf "$folder"
        return 2
    fi
    timeout -k 2 115 "$program" "$folder" "$here/record.txt"
    code=$?
    if [ -f "$folder/pids" ]; then
        while read -r pid; do
            case "$(readlink "/proc/$pid/exe")" in */fernglade-mixer) kill -9 "$pid" 2>/dev/null ;; esac
        done < "$folder/pids"
    fi
    if [ "$code" != 0 ] && [ "$code" != 1 ]; then
        cat "$folder"/*.log >&2 2>/dev/null
        code=2
    fi
    rm -rf "$folder"
    return "$code"
}
