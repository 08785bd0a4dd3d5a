#include "Caller.h"
#include "LoadRun.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/str_split.h"
#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, instances, "", "known instances, IP:PORT,IP:PORT");
ABSL_FLAG(std::string, key, "", "API key of the client account");
ABSL_FLAG(std::string, model, "auto", "model to request");
ABSL_FLAG(std::string, prompt, "Describe lace", "prompt of a chat");
ABSL_FLAG(std::uint64_t, max_tokens, 16, "maximum tokens of an answer");
ABSL_FLAG(bool, stream, true, "stream the answer");
ABSL_FLAG(std::string, request, "caller-1", "Idempotency-Key of a chat");
ABSL_FLAG(std::string, session, "", "session token of a chat");
ABSL_FLAG(std::string, service, "", "service of an order, a call or a load");
ABSL_FLAG(std::string, operation, "", "operation of the service");
ABSL_FLAG(std::string, body, "{}", "body of an order or a call");
ABSL_FLAG(unsigned, resends, 0,
          "maximum resends of an order without a whole answer");
ABSL_FLAG(std::uint64_t, requests, 100, "load: requests in total");
ABSL_FLAG(bool, direct, false, "load: the addresses are engines");
ABSL_FLAG(unsigned, threads, 8, "load: concurrent requests");

using namespace bluebellkeel;

static std::vector<network_address> knownInstances() {
  std::vector<network_address> KnownAddresses;
  for (absl::string_view Text :
       absl::StrSplit(absl::GetFlag(FLAGS_instances), ',')) {
    auto Address =
        network_address::parse(std::string_view(Text.data(), Text.size()));
    if (Address)
      KnownAddresses.push_back(*Address);
  }
  return KnownAddresses;
}

static int show(const request_result &Result) {
  static constexpr const char *OutcomeNames[] = {"whole", "not_run", "refused",
                                                 "cut"};
  std::cout << OutcomeNames[static_cast<int>(Result.End)];
  if (!Result.Reason.empty())
    std::cout << " reason=" << Result.Reason;
  if (!Result.Version.empty())
    std::cout << " version=" << Result.Version;
  if (!Result.Session.empty())
    std::cout << " session=" << Result.Session;
  std::cout << " text=" << Result.Text << "\n";
  return Result.End == request_outcome::Whole ? 0 : 1;
}

static load_plan planFromFlags() {
  load_plan Plan;
  Plan.KnownAddresses = knownInstances();
  Plan.ApiKey = absl::GetFlag(FLAGS_key);
  Plan.Model = absl::GetFlag(FLAGS_model);
  Plan.Service = absl::GetFlag(FLAGS_service);
  Plan.Operation = absl::GetFlag(FLAGS_operation);
  Plan.Requests = absl::GetFlag(FLAGS_requests);
  Plan.Threads = absl::GetFlag(FLAGS_threads);
  Plan.MaxTokens = absl::GetFlag(FLAGS_max_tokens);
  Plan.SkipsDiscovery = absl::GetFlag(FLAGS_direct);
  return Plan;
}

int main(int Argc, char **Argv) {
  constexpr int BadUsage = 2;
  absl::SetProgramUsageMessage(
      "bluebellkeel-caller addresses|chat|order|call|load --instances=...");
  auto Words = absl::ParseCommandLine(Argc, Argv);
  std::signal(SIGPIPE, SIG_IGN);
  std::string Command = Words.size() == 2 ? Words[1] : "";
  auto KnownAddresses = knownInstances();
  if (Command.empty() || KnownAddresses.empty()) {
    std::cerr << absl::ProgramUsageMessage() << "\n";
    return BadUsage;
  }
  caller Caller(KnownAddresses, absl::GetFlag(FLAGS_key));
  std::string Service = absl::GetFlag(FLAGS_service);
  std::string Operation = absl::GetFlag(FLAGS_operation);
  std::string Body = absl::GetFlag(FLAGS_body);
  if (Command == "addresses") {
    for (const auto &Address : Caller.addresses())
      std::cout << Address.text() << "\n";
    return 0;
  }
  if (Command == "chat")
    return show(Caller.chat(
        absl::GetFlag(FLAGS_model), absl::GetFlag(FLAGS_prompt),
        absl::GetFlag(FLAGS_max_tokens), absl::GetFlag(FLAGS_stream),
        absl::GetFlag(FLAGS_request), absl::GetFlag(FLAGS_session)));
  if (Command == "order")
    return show(
        Caller.order(Service, Operation, Body, absl::GetFlag(FLAGS_resends)));
  if (Command == "call")
    return show(Caller.call(Service, Operation, Body));
  if (Command == "load") {
    std::cout << runLoad(planFromFlags()) << "\n";
    return 0;
  }
  std::cerr << absl::ProgramUsageMessage() << "\n";
  return BadUsage;
}
