#ifndef BLUEBELLKEEL_LIB_HTTP_CALLERWATCH_H
#define BLUEBELLKEEL_LIB_HTTP_CALLERWATCH_H

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace bluebellkeel {

/// Notices that the other end of a connection has closed it while a request
/// is being answered. Used on the connection's executor only.
class caller_watch : public std::enable_shared_from_this<caller_watch> {
public:
  explicit caller_watch(boost::asio::ip::tcp::socket &Socket)
      : Socket(&Socket) {}

  /// Begins to watch for one request.
  void arm(std::function<void()> NewGone);
  /// The request was answered.
  void disarm() { Gone = nullptr; }
  /// The connection ends; its socket is not touched again.
  void detach();

private:
  void wait();
  void onReadable();

  boost::asio::ip::tcp::socket *Socket;
  std::function<void()> Gone;
  bool Waiting = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_CALLERWATCH_H
