-- Commands for scenarios. A scenario fails by an error; it waits on conditions
-- (status, counters, files), never for a fixed time.

-- Longest wait for any condition. It only bounds a run that hangs; no check
-- depends on how long a condition takes.
local GREATEST_WAIT_MS = 60000
local POLL_MS = 5

local CALLER_PORT = 8080
local PEER_PORT = 8090
local SERVICE_PORT = 7000
local CONTROL_PORT = 7001
local PLATFORM_PORT = 7070

function expect(condition, text)
  if not condition then
    error("expected: " .. text, 2)
  end
  return condition
end

function expect_equal(wanted, found, text)
  if wanted ~= found then
    error(("%s: expected %s, found %s"):format(
      text, tostring(wanted), tostring(found)), 2)
  end
end

-- Calls the function until it returns something true, and returns that.
function wait_until(text, condition)
  local start = runner.now_ms()
  while true do
    local found = condition()
    if found then
      return found
    end
    if runner.now_ms() - start > GREATEST_WAIT_MS then
      error("waited in vain until " .. text, 2)
    end
    runner.proceed(POLL_MS)
  end
end

-- HTTP --------------------------------------------------------------------

-- Starts a request; finish() returns its result.
function start_http(request)
  return runner.http_start(request)
end

function finish(number)
  return wait_until("request " .. number .. " is answered", function()
    return runner.http_take(number)
  end)
end

function http(request)
  return finish(start_http(request))
end

-- Sends JSON and returns the decoded answer, or nil when it is no success.
function call(address, method, path, body)
  local result = http{
    address = address, method = method, path = path, timeout_ms = 2000,
    body = body and runner.encode(body) or "",
  }
  if result.status and result.status // 100 == 2 then
    return runner.decode(result.text) or {}
  end
  return nil, result
end

-- Processes ---------------------------------------------------------------

-- Fields of the line that a test program prints when it is ready.
function wait_ready(name)
  return wait_until(name .. " is ready", function()
    expect(not runner.exit_code(name), name .. " starts")
    return runner.output(name):match("^ready [^\n]*\n")
  end)
end

function kill(name)
  runner.signal(name, runner.SIGKILL)
  wait_exit(name)
end

-- Sends SIGTERM and returns at once.
function stop(name)
  runner.signal(name, runner.SIGTERM)
end

function pause(name)
  runner.signal(name, runner.SIGSTOP)
end

function continue(name)
  runner.signal(name, runner.SIGCONT)
end

function wait_exit(name)
  return wait_until(name .. " ends", function()
    return runner.exit_code(name)
  end)
end

-- Runs a program to its end; returns its exit code and its output.
function run(name, program, arguments)
  runner.start(name, program, arguments)
  local code = wait_exit(name)
  return code, runner.output(name)
end

-- Deployment --------------------------------------------------------------

deployment = nil

local function address(number, port)
  return runner.address_prefix .. number .. ":" .. port
end

local function database_arguments(database)
  return {
    "--id", database.name, "--group", database.group,
    "--service", database.service, "--control", database.control,
    "--data", runner.folder, "--slots", deployment.options.slots,
    "--connection-cap", deployment.options.connection_cap,
    "--connection-cost-ms", deployment.options.connection_cost_ms,
    "--initial-primary", database.initial_primary,
  }
end

-- Names of the hosts in a fixed order.
function host_names()
  local names = {}
  for number = 1, deployment.options.hosts do
    names[number] = "host" .. number
  end
  return names
end

function start_database(name)
  runner.start(name, "testing/standindatabase/standindatabase",
    database_arguments(deployment.databases[name]))
  wait_ready(name)
end

function start_platform()
  runner.start("platform", "testing/standinplatform/standinplatform",
    {"--address", deployment.platform})
  wait_ready("platform")
end

function start_host(name)
  local host = deployment.hosts[name]
  local arguments = {
    "--name", name, "--zone", host.zone, "--region", host.region,
    "--caller-address", host.caller, "--peer-address", host.peer,
    "--platform-address", deployment.platform,
  }
  for _, other in ipairs(host_names()) do
    if other ~= name then
      arguments[#arguments + 1] = "--seed"
      arguments[#arguments + 1] = deployment.hosts[other].peer
    end
  end
  runner.start(name, "packages/nutmegloomd/nutmegloomd", arguments)
end

function is_ready(name)
  expect(not runner.exit_code(name), name .. " runs")
  return call(deployment.hosts[name].caller, "GET", "/readyz") ~= nil
end

function wait_host(name)
  wait_until(name .. " is ready", function() return is_ready(name) end)
end

-- Status page of a host, or nil.
function status(name)
  return (call(deployment.hosts[name].caller, "GET", "/v1/status"))
end

function database_status(name)
  return (call(deployment.databases[name].control, "GET", "/v1/status"))
end

function counters(name)
  local at = name == "platform" and deployment.platform
    or deployment.databases[name].control
  return expect(call(at, "GET", "/counters"), "counters of " .. name)
end

-- Text of the base file of the deployment.
function base_text(changes)
  local services = {["salas-db"] = {
    database_slots = deployment.options.slots,
    database_connections = deployment.options.connection_cap,
    groups = {},
  }}
  for group = 0, deployment.options.groups - 1 do
    local members = {}
    for number = 1, #deployment.options.zones do
      local database = deployment.databases["d" .. group .. "-" .. number]
      members[number] = {
        id = database.name, zone = database.zone,
        service_address = database.service,
        control_address = database.control,
      }
    end
    services["salas-db"].groups[group + 1] = {databases = members}
  end
  local sites = {}
  for _, zone in ipairs(deployment.options.zones) do
    sites[zone.name] = {region = zone.region}
  end
  local base = {
    version_format = 1, sites = sites, services = services,
    classes = {panels = {weight = 4}, bookings = {weight = 3},
               clerks = {weight = 1}},
    limits = {connections = 4096},
    timing = {drain_timeout_ms = 30000},
    tokens = {{id = "test", secret = "a-secret-for-tests-only"}},
    hosts = {log_level = deployment.options.log_level,
             caller_port = CALLER_PORT},
  }
  for section, values in pairs(changes or {}) do
    for key, value in pairs(values) do
      base[section][key] = value
    end
  end
  return runner.encode(base)
end

-- Puts the platform's host list; leaving names hosts and databases that leave.
function put_host_list(leaving)
  local entries = {}
  local function add(name, role, place, peer)
    entries[#entries + 1] = {
      name = name, role = role, zone = place.zone, region = place.region,
      peer_address = peer, state = leaving[name] and "leaving" or "live",
    }
  end
  for name, host in pairs(deployment.hosts) do
    add(name, "entry", host, host.peer)
  end
  for name, database in pairs(deployment.databases) do
    add(name, "database", database, database.control)
  end
  expect(call(deployment.platform, "PUT", "/hosts", entries), "host list")
end

-- Describes a deployment without starting it. Every group has one database in
-- each zone, of which number 1 is the primary of term 1.
function describe(options)
  options = options or {}
  options.groups = options.groups or 1
  options.hosts = options.hosts or 3
  options.slots = options.slots or 5
  options.connection_cap = options.connection_cap or 35
  options.connection_cost_ms = options.connection_cost_ms or 0
  options.log_level = options.log_level or "info"
  options.zones = options.zones or {
    {name = "lima-miraflores", region = "lima"},
    {name = "lima-sanisidro", region = "lima"},
    {name = "arequipa-cercado", region = "arequipa"},
  }
  deployment = {
    options = options, hosts = {}, databases = {},
    platform = address(1, PLATFORM_PORT),
  }
  for number = 1, options.hosts do
    local zone = options.zones[(number - 1) % #options.zones + 1]
    local name = "host" .. number
    deployment.hosts[name] = {
      name = name, zone = zone.name, region = zone.region,
      caller = address(10 + number, CALLER_PORT),
      peer = address(10 + number, PEER_PORT),
    }
  end
  for group = 0, options.groups - 1 do
    local primary = address(100 + 10 * group + 1, CONTROL_PORT)
    for number, zone in ipairs(options.zones) do
      local name = "d" .. group .. "-" .. number
      local at = 100 + 10 * group + number
      deployment.databases[name] = {
        name = name, group = "salas-db/" .. group,
        zone = zone.name, region = zone.region,
        service = address(at, SERVICE_PORT),
        control = address(at, CONTROL_PORT),
        initial_primary = number == 1 and "self" or primary,
      }
    end
  end
end

function start_databases()
  for group = 0, deployment.options.groups - 1 do
    for number = 1, #deployment.options.zones do
      start_database("d" .. group .. "-" .. number)
    end
  end
end

-- Puts the first configuration directly into the store.
function put_first_configuration()
  local first = {
    version = 1, edit_id = "first", editor = "scenario",
    edited_at = "2026-01-01T00:00:00Z", comment = "first configuration",
    changed = {"base"},
  }
  local head = {
    version = 1, edit_id = "first", editor = first.editor,
    edited_at = first.edited_at, comment = first.comment,
    base = base_text(), overlays = {}, history = {first},
  }
  local result = http{
    address = deployment.platform, method = "PUT",
    path = "/v1/objects/configuration/head",
    headers = {["If-Match"] = '"0"'}, body = runner.encode(head),
  }
  expect_equal(200, result.status, "first configuration")
end

-- Starts a whole deployment and waits until every host serves.
function deploy(options)
  describe(options)
  start_platform()
  start_databases()
  put_first_configuration()
  put_host_list({})
  for _, name in ipairs(host_names()) do
    start_host(name)
  end
  for _, name in ipairs(host_names()) do
    wait_host(name)
  end
end

-- Waits until every host knows every other one as ready. Before that, hosts
-- may disagree about who owns a group.
function wait_membership()
  for _, name in ipairs(host_names()) do
    wait_until(name .. " knows all hosts", function()
      local page = status(name)
      local ready = 0
      for _, host in ipairs(page and page.hosts or {}) do
        if host.state == "ready" and not host.suspected then
          ready = ready + 1
        end
      end
      return ready == deployment.options.hosts
    end)
  end
end

function caller_addresses()
  local list = {}
  for number, name in ipairs(host_names()) do
    list[number] = deployment.hosts[name].caller
  end
  return table.concat(list, ",")
end

-- Faults ------------------------------------------------------------------

local function set_fault(name, switches)
  local at = name == "platform" and deployment.platform
    or deployment.databases[name].control
  expect(call(at, "POST", "/faults", switches), "fault switch of " .. name)
end

-- Ports of the database ("service", "control", "replication") that accept and
-- never answer; no ports ends the cut.
function cut(name, ports)
  set_fault(name, {cut = setmetatable(ports, {is_array = true})})
end

function cut_all(name)
  cut(name, {"service", "control", "replication"})
end

-- Connections that are open now are never served again; new ones work.
function silence(name)
  set_fault(name, {silent = true})
end

function lag(name, milliseconds)
  set_fault(name, {replication_delay_ms = milliseconds})
end

function outage(is_out)
  set_fault("platform", {outage = is_out})
end

-- Time that the store takes for each call.
function slow_store(milliseconds)
  set_fault("platform", {delay_ms = milliseconds})
end

-- Loses the answers of the next changes, after they took effect.
function lose_answer(name, count)
  if name == "platform" then
    set_fault(name, {lose_answers = count or 1})
  else
    set_fault(name, {drop_answers = count or 1})
  end
end

function statement_time(name, milliseconds)
  set_fault(name, {statement_ms = milliseconds})
end

-- Callers -----------------------------------------------------------------

local next_key = 0

function new_session()
  return {token = nil}
end

-- Starts a request of a caller. Fields: host, session, group, kind, statement,
-- key, max_age_ms, timeout_ms, class, connection, path.
function start_request(request)
  local headers = {["Content-Type"] = "application/json"}
  if request.session and request.session.token then
    headers["Session-Token"] = request.session.token
  end
  if request.kind == "write" or request.key then
    if not request.key then
      next_key = next_key + 1
      request.key = "scenario-" .. next_key
    end
    headers["Idempotency-Key"] = request.key
  end
  local timeout = request.timeout_ms or 5000
  local body = {}
  if request.statement then
    body = {
      statement = request.statement, kind = request.kind or "read",
      max_age_ms = request.max_age_ms, timeout_ms = timeout,
      class = request.class,
    }
  end
  request.number = start_http{
    address = deployment.hosts[request.host].caller, method = "POST",
    path = request.path or
      "/v1/salas-db/" .. (request.group or 0) .. "/statements",
    headers = headers, body = runner.encode(body),
    connection = request.connection, timeout_ms = timeout + 10000,
  }
  return request
end

-- Waits for the answer: its JSON members and "status", or "failure".
function finish_request(request)
  local result = finish(request.number)
  if result.token and result.token ~= "" and request.session then
    request.session.token = result.token
  end
  local answer = {failure = result.failure}
  if result.text then
    answer = runner.decode(result.text) or {}
    answer.status = result.status
    answer.retry_after = result.retry_after
  end
  return answer
end

function request(fields)
  return finish_request(start_request(fields))
end

function read(host, session, key, fields)
  fields = fields or {}
  fields.host, fields.session, fields.kind = host, session, "read"
  fields.statement = {op = "get", key = key}
  return request(fields)
end

function write(host, session, statement, fields)
  fields = fields or {}
  fields.host, fields.session, fields.kind = host, session, "write"
  fields.statement = statement
  return request(fields)
end

function expect_run(answer, text)
  if answer.outcome ~= "run" or answer.status ~= 200 then
    error(("%s: expected run, found %s"):format(
      text, runner.encode(answer)), 2)
  end
  return answer
end

-- Repeats a read until it succeeds.
function read_until_run(host, session, key)
  return wait_until("a read of " .. key .. " succeeds", function()
    local answer = read(host, session, key)
    return answer.outcome == "run" and answer or nil
  end)
end

-- Repeats a write with one key until its outcome is "run".
function write_until_run(host, session, statement)
  local fields = {}
  return wait_until("a write succeeds", function()
    local answer = write(host, session, statement, fields)
    if answer.outcome == "not_run" then
      -- The key may have been closed, so the next try has another one.
      fields = {}
    end
    return answer.outcome == "run" and answer or nil
  end)
end

-- The primary and term of a group as the host sees them, or nil.
function primary_of(host, group)
  local page = status(host)
  for _, entry in ipairs(page and page.groups or {}) do
    if entry.group == "salas-db/" .. (group or 0) then
      return entry.primary, entry.term
    end
  end
end

-- The primary among the databases of a group with the highest term, from the
-- databases themselves.
function true_primary(group)
  local best, best_term = nil, 0
  for number = 1, #deployment.options.zones do
    local name = "d" .. (group or 0) .. "-" .. number
    local found = not runner.exit_code(name) and database_status(name)
    if found and found.role == "primary" and found.term > best_term then
      best, best_term = name, found.term
    end
  end
  return best, best_term
end

-- A primary of the group other than the old one, which is not asked, with a
-- term above the given one; or nil.
function promoted_instead_of(old, group, term)
  for number = 1, #deployment.options.zones do
    local name = "d" .. group .. "-" .. number
    local found = name ~= old and database_status(name)
    if found and found.role == "primary" and found.term > term then
      return name
    end
  end
end

-- Histories ---------------------------------------------------------------

function start_history(options)
  options = options or {}
  runner.start("historycaller", "testing/history/historycaller", {
    "--hosts", caller_addresses(), "--groups", deployment.options.groups,
    "--callers", options.callers or 8,
    "--operations", options.operations or 60, "--seed", options.seed or 1,
    "--pause-ms", options.pause_ms or 5,
    "--transaction-percent", options.transaction_percent or 10,
    "--output", runner.folder .. "/history.jsonl",
  })
end

-- Waits until the callers have recorded so many answers of "run".
function wait_history(count)
  wait_until(count .. " operations have run", function()
    expect(not runner.exit_code("historycaller"),
      "the callers still run when the fault comes")
    local text = runner.read_file(runner.folder .. "/history.jsonl")
    local _, found = text:gsub('"outcome":"run"', "")
    return found >= count
  end)
end

-- Waits for the callers' end and judges what they recorded.
function check_history()
  expect_equal(0, wait_exit("historycaller"), "exit code of the callers")
  local code, text = run("historychecker", "testing/history/historychecker",
    {"--history", runner.folder .. "/history.jsonl"})
  if code ~= 0 then
    error("the history is refused:\n" .. text, 2)
  end
  print(text)
end
