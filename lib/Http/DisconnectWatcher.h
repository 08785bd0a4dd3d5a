#ifndef BLUEBELLKEEL_LIB_HTTP_DISCONNECTWATCHER_H
#define BLUEBELLKEEL_LIB_HTTP_DISCONNECTWATCHER_H

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace bluebellkeel {

/// Notices that the other end of a connection has closed it while a request
/// is being answered. Used on the connection's executor only.
class disconnect_watcher
    : public std::enable_shared_from_this<disconnect_watcher> {
public:
  explicit disconnect_watcher(boost::asio::ip::tcp::socket &Socket)
      : Socket(&Socket) {}

  /// Begins to watch for one request.
  void arm(std::function<void()> NewCallback);
  /// The request was answered.
  void disarm() { OnDisconnect = nullptr; }
  /// The connection ends; its socket is not touched again.
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
