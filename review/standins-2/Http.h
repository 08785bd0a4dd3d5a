#ifndef REVIEW_STANDINS2_HTTP_H
#define REVIEW_STANDINS2_HTTP_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

/// A head and a body of HTTP/1.1. The start line is that of a request or of a
/// response.
struct message {
  std::string StartLine;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  /// Returns the first field of that name, compared without case; empty if
  /// there is none.
  std::string field(std::string_view Name) const;
  /// Words of the start line: method, target, version, or version, status,
  /// reason.
  std::string word(std::size_t Index) const;
  std::string path() const;
  /// Returns a parameter of the target's query; empty if there is none.
  std::string query(std::string_view Name) const;
  int status() const;
};

/// A blocking connection.
class connection {
public:
  explicit connection(int Descriptor) : Descriptor(Descriptor) {}
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;
  ~connection();

  bool isOpen() const { return Descriptor >= 0; }
  int descriptor() const { return Descriptor; }
  void close();
  /// Makes the close send a reset instead of an orderly end.
  void resetOnClose() const;
  /// Ends reads and writes that take longer.
  void limitWaits(int Milliseconds) const;

  bool write(std::string_view Bytes) const;
  /// Reads a head and its body; empty if the connection ended before.
  std::optional<message> readMessage();
  /// Reads only a head.
  std::optional<message> readHead();
  /// Reads the body that belongs to \p Message; false if it ended too early.
  bool readBody(message &Message);
  /// Reads the next chunk; empty if it is the last one or the connection ended.
  std::optional<std::string> readChunk();
  /// True if the last chunk was read.
  bool sawLastChunk() const { return LastChunk; }
  /// Returns bytes that were read and belong to no message.
  const std::string &unread() const { return Buffer; }
  /// Waits for further bytes; false if none came.
  bool fill();

private:
  std::optional<std::string> readLine();
  bool readBytes(std::size_t Count, std::string &Out);

  int Descriptor;
  std::string Buffer;
  bool LastChunk = false;
};

/// Returns a listening socket or -1. The port may be 0.
int listenOn(const std::string &Ip, std::uint16_t Port);
std::uint16_t portOf(int Socket);
/// Returns a connected socket or -1. \p Address is of the form IP:PORT.
int connectTo(const std::string &Address);

std::int64_t unixMillis();
void sleepMillis(std::int64_t Millis);

/// Appends a line with the time to a file, with a single write.
void record(const std::string &File, const std::string &Line);

/// Returns the value of an option of the form --NAME=VALUE.
std::string option(int Argc, char **Argv, std::string_view Name,
                   const std::string &Default);

} // namespace review

#endif // REVIEW_STANDINS2_HTTP_H
