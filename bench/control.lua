-- Cost of control for a host that serves no requests: processor time, memory,
-- messages and payload bytes per second, for a number of hosts and groups
-- given by HOSTS and GROUPS. Prints one JSON line; bench/control repeats it.

local HOSTS = math.tointeger(tonumber(os.getenv("HOSTS") or "3"))
local GROUPS = math.tointeger(tonumber(os.getenv("GROUPS") or "1"))
local SECONDS = 8

deploy{hosts = HOSTS, groups = GROUPS}
wait_membership()

local function sum_of(text, name)
  local sum = 0
  for line in text:gmatch("[^\n]+") do
    if line:sub(1, #name) == name then
      sum = sum + tonumber(line:match("([%d%.e%+]+)%s*$"))
    end
  end
  return sum
end

local function sample()
  local total = {cpu_ms = 0, messages = 0, bytes = 0, memory_kib = 0}
  for _, host in ipairs(host_names()) do
    local text = http{address = deployment.hosts[host].caller, method = "GET",
      path = "/metrics", timeout_ms = 5000, body = ""}.text
    total.cpu_ms = total.cpu_ms + runner.cpu_ms(host)
    total.messages = total.messages +
      sum_of(text, "nutmegloom_control_messages_total")
    total.bytes = total.bytes +
      sum_of(text, "nutmegloom_control_payload_bytes_total")
  end
  return total
end

local before, start = sample(), runner.now_ms()
wait_until("the time of the measurement is over", function()
  return runner.now_ms() - start > SECONDS * 1000
end)
local after, seconds = sample(), (runner.now_ms() - start) / 1000
print("report " .. runner.encode{
  hosts = HOSTS, groups = GROUPS,
  cpu_percent = (after.cpu_ms - before.cpu_ms) / 10 / seconds / HOSTS,
  messages_per_second = (after.messages - before.messages) / seconds / HOSTS,
  bytes_per_second = (after.bytes - before.bytes) / seconds / HOSTS,
})
