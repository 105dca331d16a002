-- Guards against a transaction that commits in part, or mixes with another
-- one, when the host that holds its connection dies in the middle of it.
deploy{hosts = 3}
wait_membership()
local session = new_session()

local function begin(host)
  local answer = request{host = host, session = session,
    path = "/v1/salas-db/0/transactions", connection = "caller"}
  expect_equal(201, answer.status, "begin")
  return answer.transaction
end

local function step(host, transaction, statement)
  return request{host = host, session = session, kind = "write",
    path = "/v1/transactions/" .. transaction .. "/statements",
    statement = statement, connection = "caller"}
end

local function commit(host, transaction, key)
  return request{host = host, session = session, key = key,
    path = "/v1/transactions/" .. transaction .. "/commit",
    connection = "caller"}
end

-- The caller uses a host that doesn't own the transaction.
local entry, transaction, owner
for _, host in ipairs(host_names()) do
  runner.http_close("caller")
  transaction = begin(host)
  entry, owner = host, transaction:match("^(host%d+)")
  expect(owner, "the transaction id names its owner")
  if owner ~= host then
    break
  end
end
expect(owner ~= entry, "a host that doesn't own the group exists")
expect_run(step(entry, transaction, {op = "put", key = "a", value = 1}),
  "first statement")
kill(owner)
local lost = step(entry, transaction, {op = "put", key = "b", value = 1})
expect_equal("transaction_lost", lost.code, "code of the second statement")
expect_equal("not_run", lost.outcome, "outcome of the second statement")
local refused = commit(entry, transaction, "commit-1")
expect_equal("not_run", refused.outcome, "outcome of the commit")

wait_until("the database has rolled back", function()
  return counters("d0-1").open_transactions == 0
end)
runner.http_close("caller")
local second = wait_until("a new transaction begins", function()
  local answer = request{host = entry, session = session,
    path = "/v1/salas-db/0/transactions", connection = "caller"}
  return answer.status == 201 and answer.transaction
end)
expect_run(step(entry, second, {op = "put", key = "b", value = 2}),
  "statement of the new transaction")
expect_run(commit(entry, second, "commit-2"), "commit of the new transaction")
expect_equal(nil, read_until_run(entry, session, "a").result,
  "value of the lost transaction")
expect_equal(2, read_until_run(entry, session, "b").result,
  "value of the new transaction")
