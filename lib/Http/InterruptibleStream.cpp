#include "InterruptibleStream.h"
#include <algorithm>
#include <boost/asio/post.hpp>

using namespace bluebellkeel;

/// An operation that consists of several reads may be between two of them when
/// it is cancelled, so that it is cancelled again until it ends.
static constexpr std::chrono::milliseconds CancelInterval{10};

void interruptible_stream::setRead(read_kind Kind) {
  setRead(Kind, monotonic_time::max());
}

void interruptible_stream::setRead(read_kind Kind, monotonic_time NewEnd) {
  Pending = Kind;
  End = NewEnd;
  Timer.cancel();
  if (Pending == read_kind::None)
    return;
  // The read begins after this call, and only a pending one can be cancelled.
  if (Pending <= Interrupted)
    boost::asio::post(Stream.get_executor(),
                      [Self = shared_from_this()] { Self->cancelIfEnded(); });
  else if (End != monotonic_time::max())
    repeatAt(End);
}

void interruptible_stream::interrupt(read_kind UpTo) {
  boost::asio::post(Stream.get_executor(), [Self = shared_from_this(), UpTo] {
    Self->Interrupted = std::max(Self->Interrupted, UpTo);
    Self->cancelIfEnded();
  });
}

void interruptible_stream::giveWay() {
  Activity.giveWay();
  boost::asio::post(Stream.get_executor(),
                    [Self = shared_from_this()] { Self->endPhase(); });
}

/// The phase may have changed since the connection was asked to give way.
void interruptible_stream::endPhase() {
  switch (Activity.state().phase()) {
  case connection_phase::Receiving:
    GaveWay = true;
    endReads();
    break;
  case connection_phase::Sending:
  case connection_phase::Lingering:
    if (Activity.state().givesWay())
      Stream.close();
    break;
  case connection_phase::Idle:
  case connection_phase::Serving:
    endWaits();
    break;
  }
}

void interruptible_stream::cancelIfEnded() {
  auto Now = std::chrono::steady_clock::now();
  if (Pending == read_kind::None || (Pending > Interrupted && Now < End))
    return;
  Stream.cancel();
  repeatAt(Now + CancelInterval);
}

void interruptible_stream::repeatAt(monotonic_time At) {
  Timer.expires_at(At);
  Timer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &Code) {
        if (!Code)
          Self->cancelIfEnded();
      });
}
