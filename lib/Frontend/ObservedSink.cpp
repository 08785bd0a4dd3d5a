#include "ObservedSink.h"
#include "DeltaText.h"

using namespace bluebellkeel;

double observed_sink::elapsed() const {
  return std::chrono::duration<double>(Clock.monotonicNow() - Started).count();
}

bool observed_sink::put(const response_chunk &Chunk) {
  if (!SawFirstChunk)
    Metrics.observeFirstByte(elapsed());
  SawFirstChunk = true;
  if (KeepText && Text.size() < MaxTextBytes)
    Text += deltaText(Chunk.payload());
  return Next.put(Chunk);
}

void observed_sink::finish() { Metrics.observeRequestDuration(elapsed()); }
