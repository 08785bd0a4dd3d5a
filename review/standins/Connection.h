#ifndef REVIEW_STANDINS_CONNECTION_H
#define REVIEW_STANDINS_CONNECTION_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using field_list = std::vector<std::pair<std::string, std::string>>;

/// A request or a response.
struct message {
  /// The request line or the status line.
  std::string StartLine;
  field_list Fields;
  std::string Body;

  std::string get(std::string_view Name) const;
  std::string method() const;
  std::string path() const;
  std::string query(const std::string &Name) const;
  int status() const;
};

/// How reading a message ended.
enum class read_result { Complete, ClosedBefore, ClosedWithin };

/// A TCP connection on loopback that speaks HTTP/1.1.
class connection {
public:
  explicit connection(int Socket) : Socket(Socket) {}
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;
  ~connection();

  /// Connects to a loopback port; the connection is not open if that failed.
  static int dial(std::uint16_t Port);

  bool isOpen() const { return Socket >= 0; }
  bool send(std::string_view Bytes);
  read_result readHead(message &Message);
  /// Reads the body that the fields of \p Message announce.
  read_result readBody(message &Message);
  read_result read(message &Message);
  /// Resets the connection instead of closing it.
  void reset();
  void close();
  int socket() const { return Socket; }

private:
  bool fill();
  std::optional<std::string> readLine();

  int Socket;
  std::string Buffer;
};

/// Formats a request or a response with a Content-Length.
std::string format(const message &Message);
message makeResponse(int Status, field_list Fields, std::string Body);

/// A port of 127.0.0.1 that was free a moment ago.
std::uint16_t freePort();
std::string addressOf(std::uint16_t Port);

} // namespace review

#endif // REVIEW_STANDINS_CONNECTION_H
