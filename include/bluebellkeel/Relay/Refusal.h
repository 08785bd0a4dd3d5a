#ifndef BLUEBELLKEEL_RELAY_REFUSAL_H
#define BLUEBELLKEEL_RELAY_REFUSAL_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Relay/RefusalReason.h"
#include "bluebellkeel/Relay/RunState.h"
#include <string>
#include <tuple>

namespace bluebellkeel {

/// Why a request got no complete response, and whether it may have run.
class refusal : public comparable<refusal> {
public:
  refusal(refusal_reason Reason, run_state Run, std::string Detail)
      : Reason(Reason), Run(Run), Detail(std::move(Detail)) {}

  refusal_reason reason() const { return Reason; }
  run_state run() const { return Run; }
  /// A short human-readable sentence.
  const std::string &detail() const { return Detail; }
  auto key() const { return std::tie(Reason, Run, Detail); }

private:
  refusal_reason Reason;
  run_state Run;
  std::string Detail;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_REFUSAL_H
