#ifndef BLUEBELLKEEL_LIB_FRONTEND_OBSERVEDSINK_H
#define BLUEBELLKEEL_LIB_FRONTEND_OBSERVEDSINK_H

#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Relay/ResponseSink.h"
#include "bluebellkeel/Telemetry/Metrics.h"
#include <string>

namespace bluebellkeel {

/// Passes pieces on, measures the time to the first, and keeps the text for
/// the rating service if it is wanted.
class observed_sink final : public response_sink {
public:
  /// Longest text that is kept, in bytes.
  static constexpr std::size_t MaxTextBytes = 64UL * 1024;

  observed_sink(response_sink &Next, const time_source &Clock, metrics &Metrics,
                bool KeepText)
      : Next(Next), Clock(Clock), Metrics(Metrics), KeepText(KeepText),
        Started(Clock.monotonicNow()) {}

  bool put(const response_chunk &Chunk) override;
  /// Notes the end of the answer.
  void finish();
  const std::string &text() const { return Text; }
  void forgetText() { Text.clear(); }

private:
  double elapsed() const;

  response_sink &Next;
  const time_source &Clock;
  metrics &Metrics;
  bool KeepText;
  monotonic_time Started;
  bool SawFirstChunk = false;
  std::string Text;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_OBSERVEDSINK_H
