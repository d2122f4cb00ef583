# Divides the samples of `perf script -F comm,ip,sym` among the parts of an entry host. The first frame from
# the innermost outwards that belongs to a part decides.

function part(name) {
  if (name ~ /serde_json::ser|encode_order/) return "JSON encode"
  if (name ~ /serde_json::(de|read)|serde_core::de|platform::worker/) return "JSON decode"
  if (name ~ /platform::/) return "adapter, other"
  if (name ~ /h2::|connection::mesh|bincode/) return "mesh (h2, bincode)"
  if (name ~ /hyper|httparse|http_body|^http::|http::(header|uri)|connection::(front|async_http_client|transfer)/)
    return "HTTP (hyper, client, front)"
  if (name ~ /metrics/) return "metrics"
  if (name ~ /tracing|log_writer/) return "logging"
  if (name ~ /job::(contention|regression|fit|baseline_tails)/) return "shard core: contention, scores"
  if (name ~ /shard::(candidates|starts)/) return "shard core: placement"
  if (name ~ /shard::(reports|worker|runs)/) return "shard core: reports, runs"
  if (name ~ /process::shard|request::job|version::/) return "shard core: other"
  if (name ~ /process::host|stakker/) return "host core, actor, I/O"
  if (name ~ /tokio::time|runtime::time/) return "tokio timers"
  if (name ~ /tokio::|^mio/) return "tokio tasks, channels, driver"
  return ""
}

function work(leaf) {
  if (leaf ~ /malloc|_int_free|free@|^free$|realloc|unlink_chunk|calloc/) return "allocator"
  if (leaf ~ /memcpy|memmove|memset|memcmp/) return "memory copy and compare"
  if (leaf ~ /^__aarch64_/) return "atomic operations (arm64 only)"
  return ""
}

function count_sample(  i, found) {
  if (frames == 0) return
  total++
  found = ""
  if (is_kernel) {
    for (i = 1; i <= frames && found == ""; i++)
      if (match(frame[i], /sys_(writev|recvfrom|epoll_pwait|write|close|connect|sendto|futex)/))
        found = substr(frame[i], RSTART, RLENGTH)
    found = "kernel: " (found == "" ? "other" : found)
  } else {
    for (i = 1; i <= frames && found == ""; i++) found = part(frame[i])
    if (found == "") found = "other"
    if (work(frame[1]) != "") works[work(frame[1])]++
  }
  parts[found]++
  frames = 0
}

/^$/ { count_sample(); next }
/^[^ \t]/ { count_sample(); next }
{
  address = $1
  sub(/^[ \t]+[0-9a-f]+ /, "")
  frame[++frames] = $0
  if (frames == 1) is_kernel = address ~ /^ffff/
}

END {
  count_sample()
  for (name in parts) printf "%5.1f%%  %s\n", 100 * parts[name] / total, name | "sort -rn"
  close("sort -rn")
  print "of these, across the parts:"
  for (name in works) printf "%5.1f%%  %s\n", 100 * works[name] / total, name | "sort -rn"
  close("sort -rn")
}
