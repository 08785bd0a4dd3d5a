#include "bluebellkeel/Http/CloseConnections.h"
#include <algorithm>

using namespace bluebellkeel;

static milliseconds timeUntil(monotonic_time At) {
  auto Left = At - std::chrono::steady_clock::now();
  return std::max(milliseconds(0),
                  std::chrono::duration_cast<milliseconds>(Left));
}

void bluebellkeel::closeConnections(stoppable_server &Server,
                                    monotonic_time RestBy, monotonic_time End) {
  Server.closeIdle();
  if (Server.awaitClosed(timeUntil(RestBy)))
    return;
  Server.refuseIncomplete();
  Server.awaitClosed(timeUntil(End));
}
