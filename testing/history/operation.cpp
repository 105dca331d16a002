#include "testing/history/operation.h"

#include <nlohmann/json.hpp>

#include <istream>
#include <map>
#include <stdexcept>

namespace nutmegloom::testing {

using nlohmann::json;

std::string encodeInvocation(const HistoryOperation &Operation) {
  json Steps = json::array();
  for (const HistoryStep &Step : Operation.Steps) {
    json Body = {{"list", Step.List}};
    if (!Step.Value.empty())
      Body["append"] = Step.Value;
    Steps.push_back(std::move(Body));
  }
  return json{{"event", "invoke"},
              {"operation", Operation.Id},
              {"caller", Operation.Caller},
              {"session", Operation.Session},
              {"group", Operation.Group},
              {"key", Operation.Key},
              {"transaction", Operation.IsTransaction},
              {"final", Operation.IsFinal},
              {"at_ns", Operation.InvokedAt},
              {"steps", std::move(Steps)}}
      .dump();
}

std::string encodeAnswer(const HistoryOperation &Operation) {
  json Results = json::array();
  for (const HistoryStep &Step : Operation.Steps) {
    if (Step.Items)
      Results.push_back(*Step.Items);
    else if (Step.Length)
      Results.push_back(*Step.Length);
    else
      Results.push_back(nullptr);
  }
  return json{{"event", "answer"},
              {"operation", Operation.Id},
              {"at_ns", Operation.AnsweredAt},
              {"outcome", nameOf(Operation.Result)},
              {"error", Operation.Error},
              {"results", std::move(Results)}}
      .dump();
}

static HistoryOperation decodeInvocation(const json &Body) {
  HistoryOperation Operation;
  Operation.Id = Body.at("operation").get<std::string>();
  Operation.Caller = Body.at("caller").get<std::string>();
  Operation.Session = Body.at("session").get<std::string>();
  Operation.Group = Body.at("group").get<std::string>();
  Operation.Key = Body.at("key").get<std::string>();
  Operation.IsTransaction = Body.at("transaction").get<bool>();
  Operation.IsFinal = Body.at("final").get<bool>();
  Operation.InvokedAt = Body.at("at_ns").get<std::uint64_t>();
  for (const json &Step : Body.at("steps"))
    Operation.Steps.push_back({Step.at("list").get<std::string>(),
                               Step.value("append", ""), std::nullopt,
                               std::nullopt});
  return Operation;
}

static void addAnswer(HistoryOperation &Operation, const json &Body) {
  Operation.AnsweredAt = Body.at("at_ns").get<std::uint64_t>();
  const auto Result = outcomeOf(Body.at("outcome").get<std::string>());
  if (!Result)
    throw std::runtime_error("invalid outcome of operation " + Operation.Id);
  Operation.Result = *Result;
  Operation.Error = Body.at("error").get<std::string>();
  const json &Results = Body.at("results");
  for (std::size_t StepIndex = 0;
       StepIndex < Operation.Steps.size() && StepIndex < Results.size();
       ++StepIndex) {
    if (Results[StepIndex].is_array())
      Operation.Steps[StepIndex].Items =
          Results[StepIndex].get<std::vector<std::string>>();
    else if (Results[StepIndex].is_number_unsigned())
      Operation.Steps[StepIndex].Length =
          Results[StepIndex].get<std::uint64_t>();
  }
}

std::vector<HistoryOperation> readHistory(std::istream &Input) {
  std::vector<HistoryOperation> Operations;
  std::map<std::string, std::size_t> OperationIndexes;
  std::size_t Number = 0;
  for (std::string Line; std::getline(Input, Line);) {
    ++Number;
    try {
      const json Body = json::parse(Line);
      const std::string Id = Body.at("operation").get<std::string>();
      if (Body.at("event").get<std::string>() == "invoke") {
        OperationIndexes[Id] = Operations.size();
        Operations.push_back(decodeInvocation(Body));
      } else {
        addAnswer(Operations.at(OperationIndexes.at(Id)), Body);
      }
    } catch (const std::exception &Error) {
      throw std::runtime_error("line " + std::to_string(Number) + ": " +
                               Error.what());
    }
  }
  return Operations;
}

} // namespace nutmegloom::testing
