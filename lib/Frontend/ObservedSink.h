#ifndef BLUEBELLKEEL_LIB_FRONTEND_OBSERVEDSINK_H
#define BLUEBELLKEEL_LIB_FRONTEND_OBSERVEDSINK_H

#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Relay/ResponseSink.h"
#include "bluebellkeel/Telemetry/Metrics.h"
#include <string>

namespace bluebellkeel {

/// Forwards chunks to another sink, measures the time to the first chunk, and
/// keeps the text for the rating service if \p KeepText is set.
class observed_sink final : public response_sink {
public:
  /// No further text is kept once the text reaches this size, in bytes.
  static constexpr std::size_t MaxTextBytes = 64UL * 1024;

  observed_sink(response_sink &Next, const time_source &Clock, metrics &Metrics,
                bool KeepText)
      : Next(Next), Clock(Clock), Metrics(Metrics), KeepText(KeepText),
        Started(Clock.monotonicNow()) {}

  bool put(const response_chunk &Chunk) override;
  /// Records the duration of the request.
  void finish();
  const std::string &text() const { return Text; }
  void clearText() { Text.clear(); }

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
