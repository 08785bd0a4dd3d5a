#include "DisconnectWatcher.h"

using namespace bluebellkeel;

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace error = boost::asio::error;

/// Maximum number of bytes of later requests that are read while a request is
/// handled. Behind further ones the end of the connection does not show.
static constexpr std::size_t MaxEarlyBytes = 4096;

void disconnect_watcher::arm(std::function<void()> NewCallback) {
  OnDisconnect = std::move(NewCallback);
  if (!Waiting)
    wait();
}

void disconnect_watcher::detach() {
  OnDisconnect = nullptr;
  Socket = nullptr;
}

void disconnect_watcher::wait() {
  Waiting = true;
  Socket->async_wait(tcp::socket::wait_read,
                     [Self = shared_from_this()](const error_code &Code) {
                       Self->Waiting = false;
                       if (Self->Socket && Self->OnDisconnect)
                         Self->onWaitEnded(Code);
                     });
}

/// The wait may have begun for an earlier request and end by what ended that
/// request's wait.
void disconnect_watcher::onWaitEnded(const error_code &Code) {
  if (!Code)
    onReadable();
  else if (Code == error::operation_aborted && Socket->is_open())
    wait();
}

/// A socket that is readable without data was closed by the client. Data
/// belongs to the next request.
void disconnect_watcher::onReadable() {
  char Byte = 0;
  error_code Code;
  Socket->receive(boost::asio::buffer(&Byte, 1), tcp::socket::message_peek,
                  Code);
  if (!Code && Buffer->size() >= MaxEarlyBytes)
    return;
  if (!Code)
    Buffer->commit(Socket->read_some(
        Buffer->prepare(MaxEarlyBytes - Buffer->size()), Code));
  if (!Code || Code == error::would_block || Code == error::interrupted) {
    wait();
    return;
  }
  auto Call = std::move(OnDisconnect);
  OnDisconnect = nullptr;
  Call();
}
