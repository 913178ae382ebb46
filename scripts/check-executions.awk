# Reads the execution logs of all stand-in workers, sorted by time: "begin|end KEY ATTEMPT NON_REPEATABLE NANOSECONDS".
# Counts non-repeatable requests that ran more than once, and requests that ran in two places at once.
$1 == "begin" {
    if ($4 == 1 && ++runs[$2] == 2) doubled++
    if (++running[$2] == 2) overlapping++
}
$1 == "end" { running[$2]-- }
END { printf "non-repeatable requests run twice: %d, requests run in two places at once: %d\n", doubled, overlapping }
