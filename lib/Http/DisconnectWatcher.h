#ifndef BLUEBELLKEEL_LIB_HTTP_DISCONNECTWATCHER_H
#define BLUEBELLKEEL_LIB_HTTP_DISCONNECTWATCHER_H

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace bluebellkeel {

/// Detects that the client closes its connection while a request is being
/// handled. Must be used on the connection's executor only.
class disconnect_watcher
    : public std::enable_shared_from_this<disconnect_watcher> {
public:
  explicit disconnect_watcher(boost::asio::ip::tcp::socket &Socket)
      : Socket(&Socket) {}

  /// Starts watching for the duration of one request.
  void arm(std::function<void()> NewCallback);
  /// Stops watching after the request was handled.
  void disarm() { OnDisconnect = nullptr; }
  /// Detaches from the socket when the connection ends; the socket is not used
  /// afterwards.
  void detach();

private:
  void wait();
  void onReadable();

  boost::asio::ip::tcp::socket *Socket;
  std::function<void()> OnDisconnect;
  bool Waiting = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_DISCONNECTWATCHER_H
