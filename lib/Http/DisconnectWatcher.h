#ifndef BLUEBELLKEEL_LIB_HTTP_DISCONNECTWATCHER_H
#define BLUEBELLKEEL_LIB_HTTP_DISCONNECTWATCHER_H

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>

namespace bluebellkeel {

/// Detects that the client closes its connection while a request is being
/// handled. Must be used on the connection's executor only.
class disconnect_watcher
    : public std::enable_shared_from_this<disconnect_watcher> {
public:
  /// \param Buffer holds the bytes that were received after the request; gets
  /// those that come while it is handled.
  disconnect_watcher(boost::asio::ip::tcp::socket &Socket,
                     boost::beast::flat_buffer &Buffer)
      : Socket(&Socket), Buffer(&Buffer) {}

  /// Starts watching for the duration of one request.
  void arm(std::function<void()> NewCallback);
  /// Stops watching after the request was handled.
  void disarm() { OnDisconnect = nullptr; }
  /// Detaches when the connection ends; socket and buffer are not used
  /// afterwards.
  void detach();

private:
  void wait();
  void onWaitEnded(const boost::system::error_code &Code);
  void onReadable();

  boost::asio::ip::tcp::socket *Socket;
  boost::beast::flat_buffer *Buffer;
  std::function<void()> OnDisconnect;
  bool Waiting = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_DISCONNECTWATCHER_H
