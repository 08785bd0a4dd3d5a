#ifndef REVIEW_STANDINS_3_NET_H
#define REVIEW_STANDINS_3_NET_H

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// HTTP/1.1 over blocking sockets on loopback addresses, as far as the
/// stand-ins need it.
namespace review {

using milliseconds = std::chrono::milliseconds;

/// A request or a response as it was read.
struct message {
  /// Request line or status line.
  std::string Start;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  /// False if the connection ended before the message did.
  bool Whole = false;

  /// Returns the value of the header \p Name, which is not case-sensitive.
  std::string header(const std::string &Name) const;
  /// Returns word \p Index of the start line.
  std::string word(std::size_t Index) const;
  int status() const { return std::atoi(word(1).c_str()); }
  std::string method() const { return word(0); }
  std::string target() const { return word(1); }
  std::string path() const { return target().substr(0, target().find('?')); }
  std::string query(const std::string &Name) const;
};

class connection {
public:
  explicit connection(int Fd) : Fd(Fd) {}
  ~connection();
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  /// Reads a message. Empty if the connection ended, or the time was over,
  /// before its head was complete.
  std::optional<message> read(milliseconds Time, bool IsResponse);
  bool write(const std::string &Bytes);
  /// Ends the connection with a reset.
  void reset();
  /// Ends the connection in both directions; read() and write() then fail.
  void shutDown();
  /// True if the other end has closed the connection.
  bool closedByPeer() const;

private:
  bool receive(std::chrono::steady_clock::time_point End);
  bool readChunks(std::string &Body, std::chrono::steady_clock::time_point End);

  int Fd;
  std::string Buffer;
};

/// Returns the loopback address of this process and of the gateways that it
/// starts. Cases that run at the same time use different ones.
std::string host();

/// Connects to \p Port of host(); empty if that fails.
std::shared_ptr<connection> connectTo(int Port);

/// Returns a response with a length.
std::string response(int Status, const std::string &Headers,
                     const std::string &Body);

/// Returns \p Count ports that were free when it was called.
std::vector<int> freePorts(std::size_t Count);

/// Serves each connection in a thread of its own.
class server {
public:
  using handler = std::function<void(connection &, const message &)>;

  server(int Port, handler Handler) : Port(Port), Handler(std::move(Handler)) {}
  ~server() { stop(); }
  server(const server &) = delete;
  server &operator=(const server &) = delete;

  void start();
  /// Stops listening and resets all connections, as the end of a process does
  /// that has not read all of its input.
  void stop();

private:
  void accept();
  void serve(const std::shared_ptr<connection> &Connection);

  const int Port;
  const handler Handler;
  std::mutex Mutex;
  std::set<std::shared_ptr<connection>> Connections;
  int Listener = -1;
  std::thread Acceptor;
  std::atomic<int> Serving{0};
};

} // namespace review

#endif // REVIEW_STANDINS_3_NET_H
