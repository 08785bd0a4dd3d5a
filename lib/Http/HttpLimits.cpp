#include "bluebellkeel/Http/HttpLimits.h"

using namespace bluebellkeel;

http_limits http_limits::withHeader(std::size_t Bytes,
                                    milliseconds Time) const {
  http_limits Changed = *this;
  Changed.HeaderBytes = Bytes;
  Changed.HeaderTime = Time;
  return Changed;
}

http_limits http_limits::withBody(std::size_t Bytes) const {
  http_limits Changed = *this;
  Changed.BodyBytes = Bytes;
  return Changed;
}

http_limits http_limits::withUrgentRequests() const {
  http_limits Changed = *this;
  Changed.Urgent = true;
  return Changed;
}

http_limits http_limits::withIdle(milliseconds Time) const {
  http_limits Changed = *this;
  Changed.IdleTime = Time;
  return Changed;
}
