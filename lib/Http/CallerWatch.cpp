#include "CallerWatch.h"

using namespace bluebellkeel;

using boost::asio::ip::tcp;
using boost::system::error_code;

void caller_watch::arm(std::function<void()> NewGone) {
  Gone = std::move(NewGone);
  if (!Waiting)
    wait();
}

void caller_watch::detach() {
  Gone = nullptr;
  Socket = nullptr;
}

void caller_watch::wait() {
  Waiting = true;
  Socket->async_wait(tcp::socket::wait_read,
                     [Self = shared_from_this()](const error_code &Code) {
                       Self->Waiting = false;
                       if (!Code && Self->Socket && Self->Gone)
                         Self->onReadable();
                     });
}

/// Readable without a byte to read means closed. Bytes are the next request,
/// which waits for its turn.
void caller_watch::onReadable() {
  char Byte = 0;
  error_code Code;
  Socket->receive(boost::asio::buffer(&Byte, 1), tcp::socket::message_peek,
                  Code);
  if (!Code || Code == boost::asio::error::would_block)
    return;
  auto Call = std::move(Gone);
  Gone = nullptr;
  Call();
}
