# Functions for mutation tests: they remove a safeguard in a scratch copy of the sources and
# expect a test to fail. Source this file from the root of the repository.

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
survivors=0
# The tests take seconds; the timeout ends a test that a mutant makes hang.
test_timeout=120s

mutant() { # mutant NAME FILE PERL-SUBSTITUTION PACKAGE TEST [ARGUMENT OF THE TEST...]
  local name=$1 file=$2 change=$3 package=$4 test=$5 arguments=()
  shift 5
  [ $# -eq 0 ] || arguments=(-args "$@")
  rm -rf "$scratch/tree"
  mkdir "$scratch/tree"
  cp -r go.mod go.sum internal platform cmd docs examples "$scratch/tree/"
  perl -0pi -e "$change" "$scratch/tree/$file"
  if cmp -s "$file" "$scratch/tree/$file"; then
    echo "mutant $name: the change no longer applies" >&2
    exit 1
  fi
  if ! (cd "$scratch/tree" && go vet "./$package" >"$scratch/out" 2>&1); then
    echo "mutant $name: does not build" >&2
    cat "$scratch/out" >&2
    exit 1
  fi
  if (cd "$scratch/tree" && go test -count=1 -timeout "$test_timeout" -run "$test" "./$package" "${arguments[@]}" >"$scratch/out" 2>&1); then
    printf '%-28s SURVIVED %s\n' "$name" "$test"
    survivors=$((survivors + 1))
  else
    printf '%-28s killed by %s\n' "$name" "$test"
  fi
}

finish() { # finish prints the number of survivors and fails if there are any.
  echo "survivors: $survivors"
  [ "$survivors" -eq 0 ]
}
