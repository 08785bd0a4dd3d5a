#ifndef UNITTESTS_SUPPORT_RELAYFIXTURE_H
#define UNITTESTS_SUPPORT_RELAYFIXTURE_H

#include "Support/ManualClock.h"
#include "Support/SeededRandom.h"
#include "bluebellkeel/Core.h"
#include "bluebellkeel/Policy.h"
#include "bluebellkeel/Relay.h"
#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <map>

namespace bluebellkeel {

/// Counts retries and responses that a relay reports.
class fake_monitor final : public relay_monitor {
public:
  std::map<attempt_error, int> Retries;
  int Answers = 0;

  void countRefusal(refusal_reason /*Reason*/) override {}
  void countRetry(attempt_error Reason) override { ++Retries[Reason]; }
  void countAttemptError(attempt_error /*Error*/) override {}
  void countAnswer(const version_id & /*Version*/, bool /*Met*/) override {
    ++Answers;
  }
  void countServiceCall() override {}
};

/// Grants a slot on the first candidate without waiting. WhileWaiting is called
/// first to simulate changes during a wait.
class fake_slots final : public slot_gateway, private slot_owner {
public:
  std::function<void()> WhileWaiting;
  std::optional<admission_error> Fault;
  int Held = 0;

  tl::expected<upstream_slot, admission_error>
  acquire(const pool_id & /*Pool*/, const account_id & /*Account*/,
          const load_amount &Need, const candidate_source &Source) override {
    if (WhileWaiting)
      WhileWaiting();
    if (Fault)
      return tl::unexpected(*Fault);
    auto Candidates = Source();
    if (Candidates.empty())
      return tl::unexpected(admission_error::NoUpstream);
    ++Held;
    return upstream_slot(*this, Candidates.front().id(), Need);
  }

private:
  void releaseSlot(const upstream_id & /*Id*/,
                   const load_amount & /*Need*/) override {
    --Held;
  }
};

/// Keeps bills in memory.
class fake_bills final : public bill_gateway {
public:
  bool HasCapacity = true;
  std::optional<journal_error> Fault;
  std::vector<bill> Committed;

  bool hasCapacity() const override { return HasCapacity; }
  tl::expected<void, journal_error> commit(const bill &Bill) override {
    if (Fault)
      return tl::unexpected(*Fault);
    Committed.push_back(Bill);
    return {};
  }
};

/// Returns Verdict for every claim.
class fake_claims final : public claim_gateway {
public:
  claim_verdict Verdict{claim_verdict::kind::Granted};
  int Released = 0;
  std::vector<recorded_outcome> Finished;

  claim_verdict claim(const ticket & /*Ticket*/,
                      const std::string & /*AttemptId*/) override {
    return Verdict;
  }
  void release(const ticket & /*Ticket*/,
               const std::string & /*AttemptId*/) override {
    ++Released;
  }
  void finish(const ticket & /*Ticket*/, const std::string & /*AttemptId*/,
              const recorded_outcome &Outcome) override {
    Finished.push_back(Outcome);
  }
};

/// Engines that follow scripts: each attempt sends a number of chunks and then
/// fails or completes the response.
class fake_engines final : public chat_upstream {
public:
  struct script {
    int Pieces = 2;
    std::optional<attempt_error> Fault;
  };

  std::deque<script> Scripts;
  std::vector<chat_attempt> Attempts;

  tl::expected<token_usage, attempt_error> run(const chat_attempt &Attempt,
                                               response_sink &Sink) override {
    Attempts.push_back(Attempt);
    script Script;
    if (!Scripts.empty()) {
      Script = Scripts.front();
      Scripts.pop_front();
    }
    for (int Piece = 0; Piece < Script.Pieces; ++Piece) {
      if (!Sink.put(response_chunk("piece", false)))
        return tl::unexpected(attempt_error::CallerGone);
    }
    if (Script.Fault)
      return tl::unexpected(*Script.Fault);
    if (!Sink.put(response_chunk("final", true)))
      return tl::unexpected(attempt_error::CallerGone);
    return token_usage(10, 20);
  }
};

/// Services that follow scripts and count their runs.
class fake_services final : public service_upstream {
public:
  struct script {
    bool Runs = true;
    std::optional<attempt_error> Fault;
    int Status = 200;
  };

  std::deque<script> Scripts;
  int Runs = 0;

  tl::expected<service_response, attempt_error>
  call(const service_attempt & /*Attempt*/) override {
    script Script;
    if (!Scripts.empty()) {
      Script = Scripts.front();
      Scripts.pop_front();
    }
    if (Script.Runs)
      ++Runs;
    if (Script.Fault)
      return tl::unexpected(*Script.Fault);
    return service_response(Script.Status, "done");
  }
};

/// Records the chunks sent to the caller.
class fake_sink final : public response_sink {
public:
  std::vector<response_chunk> Chunks;
  bool Gone = false;
  std::function<void(const response_chunk &)> OnPut;

  bool put(const response_chunk &Chunk) override {
    if (OnPut)
      OnPut(Chunk);
    Chunks.push_back(Chunk);
    return !Gone;
  }
  bool complete() const { return !Chunks.empty() && Chunks.back().isFinal(); }
};

class fake_gate final : public serving_gate {
public:
  std::optional<refusal_reason> Closed;
  std::optional<refusal_reason> refusalReason() const override {
    return Closed;
  }
};

class fake_crash_reporter final : public crash_reporter {
public:
  int Reports = 0;
  void reportCrash(const fingerprint & /*Request*/,
                   const upstream_id & /*Upstream*/) override {
    ++Reports;
  }
};

class noop_capacity_listener final : public capacity_listener {
public:
  void onCapacityChanged() override {}
};

/// Dependencies of the chat and service relays, with fake gateways and
/// upstreams: two versions and a service, with three upstreams each.
class relay_fixture {
public:
  relay_fixture() {
    put("/t/accounts/a/versions", setting_value::text_list{"m@1", "m@2"});
    put("/t/accounts/a/services", setting_value::text_list{"desk"});
    put("/t/accounts/a/quality-target", 0.5);
    for (const char *Version : {"m@1", "m@2"}) {
      std::string Path = std::string("/t/versions/") + Version;
      put(Path + "/stage", std::string("active"));
      put(Path + "/quality", 0.9);
      put(Path + "/cost", Version == std::string("m@1") ? 1000.0 : 2000.0);
    }
    put("/t/services/desk/operations/place/idempotent", false);
    put("/t/services/desk/operations/place/cost", 7.0);
    put("/t/services/desk/operations/stock/idempotent", true);
    listUpstreams();
  }

  /// Applies a change of one setting.
  void put(const std::string &Path, setting_value::variant Value) {
    settings_change Change(
        "c" + std::to_string(Offset), team_id(teamOf(Path)),
        Settings.state()->revisionOf(team_id(teamOf(Path))).offset(),
        {setting_edit(*settings_path::parse(Path),
                      setting_value(std::move(Value)))});
    Settings.apply(log_offset(Offset++), Change);
  }

  void listUpstreams(bool Leaving = false) {
    std::vector<upstream_record> Records;
    for (const char *Pool : {"m@1", "m@2", "desk"}) {
      for (int Index = 0; Index < 3; ++Index)
        Records.emplace_back(
            upstream_id(std::string(Pool) + "-" + std::to_string(Index)),
            data_centre_id("x"), network_address("127.0.0.1", 1),
            upstream_kind::Engine, pool_id(Pool), Leaving, load_amount(8, 8000),
            load_amount(2, 8000));
    }
    Upstreams.replace(std::move(Records));
  }

  chat_request chat() const {
    return chat_request(request_id("r"), account_id("a"), "auto", "{}", 100)
        .withFingerprints(fingerprint("content"), fingerprint("prefix"));
  }

  service_call order(bool MayBeResend) {
    return service_call(request_id("r"), account_id("a"), service_id("desk"),
                        "place", "{}")
        .withTicket(Tickets.issue(account_id("a"), log_offset()), MayBeResend);
  }

  manual_clock Clock;
  seeded_random Random{11};
  hmac_signer Signer{"a key for tests only"};
  settings_store Settings;
  upstream_directory Upstreams;
  noop_capacity_listener Listener;
  grant_holder Grants{instance_id("i"), Clock, Listener};
  health_tracker Health{Clock};
  quality_tracker Quality{instance_id("i")};
  cheapest_at_target_planner Planner{Quality, Random};
  least_requests_chooser Chooser;
  candidate_finder Candidates{Upstreams, Grants, Health, data_centre_id("x")};
  crash_tracker Crashes{Clock};
  fake_crash_reporter CrashReports;
  retry_budget Retries;
  ticket_issuer Tickets{Clock, Random, Signer, seconds(600)};
  fake_monitor Monitor;
  fake_gate Gate;
  fake_slots Slots;
  fake_bills Bills;
  fake_claims Claims;
  fake_engines Engines;
  fake_services Services;
  relay_dependencies Deps{Clock,      Settings, Gate,         Planner, Chooser,
                          Candidates, Crashes,  CrashReports, Health,  Retries,
                          Tickets,    Random,   Monitor,      Slots,   Bills,
                          Claims,     Engines,  Services};

private:
  static std::string teamOf(const std::string &Path) {
    return Path.substr(1, Path.find('/', 1) - 1);
  }

  std::uint64_t Offset = 1;
};

} // namespace bluebellkeel

#endif // UNITTESTS_SUPPORT_RELAYFIXTURE_H
