-- Latency and cost of one statement through nutmegloomd, compared with direct
-- access to the database and with a relay that only parses the request and
-- does one more exchange. All are measured in turn within one run, several
-- times, so that noise of the machine meets all of them; the table shows the
-- median of the rounds.
--
-- Direct access and the relay are answered when the primary has executed a
-- write; nutmegloomd also waits until a majority of the databases holds it.

local ROUNDS = 5
local SECONDS = 2
-- One request in progress shows the latency, several show the cost.
local LOADED_CONNECTIONS = 16

-- The cap leaves room for the connections of all three at once.
deploy{hosts = 2, connection_cap = 200}
local primary = deployment.databases["d0-1"]
runner.start("relay", "testing/relay/relay", {
  "--address", runner.address_prefix .. "2:8080",
  "--database", primary.service,
})
wait_ready("relay")

local targets = {
  {name = "direct", hosts = primary.service, term = "1", processes = {}},
  {name = "relay", hosts = runner.address_prefix .. "2:8080",
   processes = {"relay"}},
}
for number = 1, 2 do
  local host = deployment.hosts["host" .. number]
  targets[#targets + 1] = {
    name = "nutmegloomd " .. host.name, hosts = host.caller,
    host = host.name, processes = {"host1", "host2"},
  }
end

local function cpu(target)
  local sum = 0
  for _, name in ipairs(target.processes) do
    sum = sum + runner.cpu_ms(name)
  end
  return sum
end

local function load(target, connections, seed)
  local arguments = {
    "--hosts", target.hosts, "--connections", connections,
    "--warmup-ms", 0, "--duration-ms", SECONDS * 1000, "--seed", seed,
    "--writes", "0.2",
  }
  if target.term then
    arguments[#arguments + 1] = "--direct-term"
    arguments[#arguments + 1] = target.term
  end
  local before = cpu(target)
  local code, text = run("loadtool", "testing/loadtool/loadtool", arguments)
  expect_equal(0, code, "exit code of the load tool")
  local report = runner.decode(text)
  report.cpu_ms = cpu(target) - before
  return report
end

local function add(target, name, value)
  target[name] = target[name] or {}
  table.insert(target[name], value)
end

local function median(values)
  if not values or #values == 0 then
    return 0
  end
  table.sort(values)
  return values[(#values + 1) // 2]
end

local function count_errors(report)
  local sum = 0
  for _, count in pairs(report.parts.all.errors or {}) do
    sum = sum + count
  end
  return sum
end

-- Every load has its own seed, because the keys of its writes come from it.
for place, target in ipairs(targets) do
  load(target, 1, place)
end
for round = 1, ROUNDS do
  for place, target in ipairs(targets) do
    local seed = 100 * round + 10 * place
    local single = load(target, 1, seed)
    for _, kind in ipairs{"reads", "writes"} do
      add(target, kind .. "_p50", single.parts[kind].p50_ms)
      add(target, kind .. "_p99", single.parts[kind].p99_ms)
    end
    local before = target.host and status(target.host).counters.forwarded
    local loaded = load(target, LOADED_CONNECTIONS, seed + 1)
    if before then
      target.forwards = status(target.host).counters.forwarded > before
    end
    add(target, "rate", loaded.parts.all.answered_per_second)
    if loaded.cpu_ms > 0 then
      add(target, "per_core", loaded.parts.all.answered * 1000 / loaded.cpu_ms)
    end
    target.errors = (target.errors or 0) + count_errors(single)
      + count_errors(loaded)
  end
end

print(("%-32s %8s %8s %8s %8s %10s %10s %7s"):format("", "read p50",
  "read p99", "writ p50", "writ p99", "stmts/s", "per core", "errors"))
for _, target in ipairs(targets) do
  local name = target.name
  if target.host then
    name = name .. (target.forwards and " (forwards)" or " (owner)")
  end
  print(("%-32s %8.2f %8.2f %8.2f %8.2f %10.0f %10.0f %7d"):format(name,
    median(target.reads_p50), median(target.reads_p99),
    median(target.writes_p50), median(target.writes_p99),
    median(target.rate), median(target.per_core), target.errors))
end
print(("Latencies in ms with 1 request in progress, rates with %d; "
  .. "median of %d rounds of %d s; seeds 100 * round + 10 * row + 0 or 1."
  ):format(LOADED_CONNECTIONS, ROUNDS, SECONDS))
