-- Guards against any of the invariants breaking under faults that come in an
-- order that nobody has thought of. The seed chooses the faults, their targets
-- and how many answers lie between them; the callers use the same seed.

local seed = math.tointeger(tonumber(os.getenv("NUTMEGLOOM_SEED") or "1"))
local FAULTS = 5
-- Answers of "run" between two faults.
local LEAST_STEP, GREATEST_STEP = 25, 60

math.randomseed(seed)
print("seed " .. seed)
deploy{hosts = 3, groups = 2}
wait_membership()
start_history{operations = 300, seed = seed, callers = 10}

local function any_database()
  return ("d%d-%d"):format(math.random(0, 1), math.random(1, 3))
end

local function any_host()
  return "host" .. math.random(1, 3)
end

local function await_other_primary(group, old)
  wait_until("group " .. group .. " has another primary", function()
    local primary = true_primary(group)
    return primary and primary ~= old
  end)
end

-- Every fault ends before the next begins, but for those that leave their
-- effects behind: lag, lost answers and the state of a former primary.
local faults = {
  {name = "kill the primary", run = function()
    local group = math.random(0, 1)
    local primary = true_primary(group)
    kill(primary)
    await_other_primary(group, primary)
    start_database(primary)
  end},
  {name = "cut the primary off", run = function()
    local group = math.random(0, 1)
    local primary, term = true_primary(group)
    cut_all(primary)
    wait_until("another database is promoted", function()
      return promoted_instead_of(primary, group, term)
    end)
    cut(primary, {})
  end},
  {name = "kill and restart a host", run = function()
    local host = any_host()
    kill(host)
    start_host(host)
    wait_host(host)
  end},
  {name = "pause a host past the validity of its term checks", run = function()
    local host = any_host()
    pause(host)
    local paused_at = runner.now_ms()
    wait_until("the host was paused for a while", function()
      return runner.now_ms() - paused_at > 1500
    end)
    continue(host)
  end},
  {name = "lose answers", run = function()
    lose_answer(any_database(), math.random(1, 5))
  end},
  {name = "silence connections", run = function()
    silence(any_database())
  end},
  {name = "lag", run = function()
    lag(any_database(), math.random(0, 400))
  end},
  {name = "store outage and a restarted host", run = function()
    outage(true)
    local host = any_host()
    kill(host)
    start_host(host)
    wait_host(host)
    outage(false)
  end},
}

local answers = 0
for number = 1, FAULTS do
  answers = answers + math.random(LEAST_STEP, GREATEST_STEP)
  wait_history(answers)
  local fault = faults[math.random(#faults)]
  print("fault " .. number .. ": " .. fault.name)
  fault.run()
end
check_history()
