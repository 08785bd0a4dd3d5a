#include "bluebellkeel/Codec.h"
#include "bluebellkeel/Journal.h"
#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

// Benchmarks of encoding and decoding log records.

static bill sampleBill(int Index) {
  return bill(
      account_id("account-123"),
      request_id("0123456789abcdef0123456789abcd" + std::to_string(Index % 10)),
      "model@3", 1234, 56789);
}

/// Encodes a batch of bills, by its size.
static void encodeBills(benchmark::State &State) {
  std::size_t Bytes = 0;
  for (auto Step : State) {
    nlohmann::json Records = nlohmann::json::array();
    for (int Index = 0; Index < State.range(0); ++Index)
      Records.push_back(toJson(sampleBill(Index)));
    std::string Text = Records.dump();
    Bytes = Text.size();
    benchmark::DoNotOptimize(Text);
  }
  State.counters["bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(encodeBills)->Arg(1)->Arg(16)->Arg(64)->Arg(256);

/// Reads claims back, by the number of records from the ticket's offset to its
/// claim.
static void readBackClaims(benchmark::State &State) {
  nlohmann::json Records = nlohmann::json::array();
  for (int Index = 0; Index < State.range(0); ++Index)
    Records.push_back(toJson(claim_entry(claim_entry::kind::Claim,
                                         "0123456789abcdef0123456789ab" +
                                             std::to_string(1000 + Index),
                                         "fedcba9876543210fedcba9876543210")));
  std::string Text = Records.dump();
  for (auto Step : State) {
    claim_table Claims;
    auto Json = parseJson(Text);
    for (const auto &Record : *Json)
      Claims.apply(*claimEntryFrom(Record));
    benchmark::DoNotOptimize(Claims);
  }
  State.counters["bytes"] = static_cast<double>(Text.size());
}
BENCHMARK(readBackClaims)->Arg(1)->Arg(16)->Arg(128)->Arg(1024);
