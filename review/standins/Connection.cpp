#include "Connection.h"
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace review;

static constexpr std::size_t ReadBytes = 65536;

std::string message::get(std::string_view Name) const {
  for (const auto &[FieldName, Value] : Fields) {
    if (FieldName.size() == Name.size() &&
        strncasecmp(FieldName.data(), Name.data(), Name.size()) == 0)
      return Value;
  }
  return "";
}

static std::string wordOf(const std::string &Line, int Index) {
  std::size_t Start = 0;
  for (; Index > 0; --Index) {
    Start = Line.find(' ', Start);
    if (Start == std::string::npos)
      return "";
    ++Start;
  }
  return Line.substr(Start, Line.find(' ', Start) - Start);
}

std::string message::method() const { return wordOf(StartLine, 0); }

std::string message::path() const {
  std::string Target = wordOf(StartLine, 1);
  return Target.substr(0, Target.find('?'));
}

std::string message::query(const std::string &Name) const {
  std::string Target = wordOf(StartLine, 1);
  for (std::size_t At = Target.find('?'); At != std::string::npos;
       At = Target.find('&', At)) {
    ++At;
    if (Target.compare(At, Name.size() + 1, Name + "=") == 0) {
      At += Name.size() + 1;
      return Target.substr(At, Target.find('&', At) - At);
    }
  }
  return "";
}

int message::status() const { return std::atoi(wordOf(StartLine, 1).c_str()); }

connection::~connection() { close(); }

static sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

int connection::dial(std::uint16_t Port) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = loopback(Port);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                sizeof Address) != 0) {
    ::close(Socket);
    return -1;
  }
  int One = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  return Socket;
}

bool connection::send(std::string_view Bytes) {
  while (isOpen() && !Bytes.empty()) {
    ssize_t Sent = ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return isOpen();
}

bool connection::fill() {
  std::array<char, ReadBytes> Bytes;
  ssize_t Size = isOpen() ? ::recv(Socket, Bytes.data(), Bytes.size(), 0) : 0;
  if (Size <= 0)
    return false;
  Buffer.append(Bytes.data(), static_cast<std::size_t>(Size));
  return true;
}

std::optional<std::string> connection::readLine() {
  std::size_t End = Buffer.find("\r\n");
  while (End == std::string::npos) {
    if (!fill())
      return std::nullopt;
    End = Buffer.find("\r\n");
  }
  std::string Line = Buffer.substr(0, End);
  Buffer.erase(0, End + 2);
  return Line;
}

read_result connection::readHead(message &Message) {
  Message = message();
  auto Line = readLine();
  if (!Line)
    return Buffer.empty() ? read_result::ClosedBefore
                          : read_result::ClosedWithin;
  Message.StartLine = *Line;
  while (true) {
    Line = readLine();
    if (!Line)
      return read_result::ClosedWithin;
    if (Line->empty())
      return read_result::Complete;
    std::size_t Colon = Line->find(':');
    std::size_t Value = Line->find_first_not_of(' ', Colon + 1);
    Message.Fields.emplace_back(
        Line->substr(0, Colon),
        Value == std::string::npos ? "" : Line->substr(Value));
  }
}

read_result connection::readBody(message &Message) {
  constexpr int Hexadecimal = 16;
  if (Message.get("Transfer-Encoding") == "chunked") {
    while (true) {
      auto Line = readLine();
      if (!Line)
        return read_result::ClosedWithin;
      auto Size = std::strtoul(Line->c_str(), nullptr, Hexadecimal);
      while (Buffer.size() < Size + 2) {
        if (!fill()) {
          Message.Body += Buffer.substr(0, Size);
          return read_result::ClosedWithin;
        }
      }
      Message.Body += Buffer.substr(0, Size);
      Buffer.erase(0, Size + 2);
      if (Size == 0)
        return read_result::Complete;
    }
  }
  std::size_t Size =
      std::strtoul(Message.get("Content-Length").c_str(), nullptr, /*base=*/10);
  while (Buffer.size() < Size) {
    if (!fill())
      return read_result::ClosedWithin;
  }
  Message.Body = Buffer.substr(0, Size);
  Buffer.erase(0, Size);
  return read_result::Complete;
}

read_result connection::read(message &Message) {
  read_result Head = readHead(Message);
  return Head == read_result::Complete ? readBody(Message) : Head;
}

void connection::reset() {
  linger Linger{1, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Linger, sizeof Linger);
  close();
}

void connection::close() {
  if (isOpen())
    ::close(Socket);
  Socket = -1;
}

std::string review::format(const message &Message) {
  std::string Text = Message.StartLine + "\r\n";
  for (const auto &[Name, Value] : Message.Fields)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  return Text + "Content-Length: " + std::to_string(Message.Body.size()) +
         "\r\n\r\n" + Message.Body;
}

message review::makeResponse(int Status, field_list Fields, std::string Body) {
  return {"HTTP/1.1 " + std::to_string(Status) + " -", std::move(Fields),
          std::move(Body)};
}

std::uint16_t review::freePort() {
  // Below the ports that the system gives to outgoing connections.
  constexpr int FirstPort = 12000;
  constexpr int Ports = 18000;
  static std::atomic<int> Next{::getpid() * 64 % Ports};
  while (true) {
    auto Port = static_cast<std::uint16_t>(FirstPort + Next++ % Ports);
    int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address = loopback(Port);
    bool Free = ::bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                       sizeof Address) == 0;
    ::close(Socket);
    if (Free)
      return Port;
  }
}

std::string review::addressOf(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}
