-- Gap in service during one failover: one caller writes and one reads all the
-- time through a host; the gap is the longest time between two answers of
-- "run". Prints one JSON line; bench/failover repeats it and summarises. The
-- times of the phases come from the log of the hosts.

local FAILURES = {
  kill = function(primary) kill(primary) end,
  cut = function(primary) cut_all(primary) end,
  freeze = function(primary) pause(primary) end,
  leaving = function(primary) put_host_list({[primary] = true}) end,
}
local failure = os.getenv("FAILURE") or "kill"

local function start_one(host, kind, session, number)
  local fields = {host = host, session = session, kind = kind,
    connection = kind .. "-caller", timeout_ms = 10000}
  if kind == "write" then
    fields.statement = {op = "put", key = "k", value = number}
  else
    fields.statement = {op = "get", key = "k"}
    fields.max_age_ms = 60000
  end
  return start_request(fields)
end

-- Keeps one request of each kind under way until done() is true.
local function measure(host, inject, done)
  local loops = {}
  local start = runner.now_ms()
  for _, kind in ipairs({"write", "read"}) do
    loops[kind] = {session = new_session(), number = 0, last = start, gap = 0}
  end
  local injected
  local settle_until
  while true do
    for kind, loop in pairs(loops) do
      if not loop.pending then
        loop.number = loop.number + 1
        loop.pending = start_one(host, kind, loop.session, loop.number)
      end
      local result = runner.http_take(loop.pending.number)
      if result then
        local answer = result.text and runner.decode(result.text) or {}
        if result.token and result.token ~= "" then
          loop.session.token = result.token
        end
        loop.pending = nil
        local now = runner.now_ms()
        if answer.outcome == "run" then
          if injected then
            loop.gap = math.max(loop.gap, now - loop.last)
          end
          loop.last = now
        else
          loop.errors = (loop.errors or 0) + 1
          loop.last_error = (answer.code or result.failure or "?") .. "/" ..
            (answer.outcome or "?")
        end
      end
    end
    local now = runner.now_ms()
    if not injected and now - start > 1000 then
      inject()
      injected = now
    end
    if injected and not settle_until and done() then
      settle_until = now + 1500
    end
    if settle_until and now > settle_until and loops.write.last > settle_until - 1000 then
      return loops
    end
    if now - start > 40000 then
      error("no failover within 40 s")
    end
    runner.proceed(1)
  end
end

-- Milliseconds of the day of a log line.
local function time_of(line)
  local hours, minutes, seconds = line:match("(%d%d):(%d%d):(%d%d%.%d+)")
  return hours and (hours * 3600 + minutes * 60 + seconds) * 1000
end

-- Time of each phase of the promotion that succeeded.
local function phases()
  local found = {}
  for _, host in ipairs(host_names()) do
    local log = runner.read_file(runner.folder .. "/" .. host .. ".log")
    for line in log:gmatch("[^\n]+") do
      local phase = line:find("failover_phase_changed", 1, true) and
        line:match("phase=\"?(%a+)")
      if phase then
        found[phase] = time_of(line)
      end
    end
  end
  return {
    fence_ms = found.waiting and found.fencing and
      found.waiting - found.fencing,
    wait_ms = found.promoting and found.waiting and
      found.promoting - found.waiting,
    promote_ms = found.idle and found.promoting and
      found.idle - found.promoting,
  }
end

deploy{hosts = 3}
wait_membership()
local old, term = true_primary(0)
local loops = measure("host1", function() FAILURES[failure](old) end,
  function() return promoted_instead_of(old, 0, term) end)
if failure == "freeze" then
  continue(old)
end
local report = phases()
report.failure = failure
for kind, loop in pairs(loops) do
  report[kind .. "_gap_ms"] = loop.gap
  report[kind .. "_errors"] = loop.errors or 0
  report[kind .. "_last_error"] = loop.last_error
end
print("report " .. runner.encode(report))
