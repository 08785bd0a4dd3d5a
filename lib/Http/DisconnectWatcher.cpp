#include "DisconnectWatcher.h"

using namespace bluebellkeel;

using boost::asio::ip::tcp;
using boost::system::error_code;

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
                       if (!Code && Self->Socket && Self->OnDisconnect)
                         Self->onReadable();
                     });
}

/// A socket that is readable without data was closed by the client. Data
/// belongs to the next request, which is read later.
void disconnect_watcher::onReadable() {
  char Byte = 0;
  error_code Code;
  Socket->receive(boost::asio::buffer(&Byte, 1), tcp::socket::message_peek,
                  Code);
  if (!Code || Code == boost::asio::error::would_block)
    return;
  auto Call = std::move(OnDisconnect);
  OnDisconnect = nullptr;
  Call();
}
