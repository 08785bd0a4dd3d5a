#include "Http.h"
#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

using namespace review;

static bool equalsIgnoringCase(std::string_view L, std::string_view R) {
  return std::equal(L.begin(), L.end(), R.begin(), R.end(), [](char A, char B) {
    return std::tolower(static_cast<unsigned char>(A)) ==
           std::tolower(static_cast<unsigned char>(B));
  });
}

static std::string percentDecode(std::string_view Text) {
  constexpr std::size_t EscapeSize = 3;
  constexpr int Hexadecimal = 16;
  std::string Decoded;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] != '%' || I + EscapeSize > Text.size()) {
      Decoded.push_back(Text[I]);
      continue;
    }
    std::string Digits(Text.substr(I + 1, 2));
    Decoded.push_back(
        static_cast<char>(std::strtol(Digits.c_str(), nullptr, Hexadecimal)));
    I += 2;
  }
  return Decoded;
}

std::string message::field(std::string_view Name) const {
  for (const auto &[FieldName, Value] : Fields) {
    if (equalsIgnoringCase(FieldName, Name))
      return Value;
  }
  return "";
}

std::string message::word(std::size_t Index) const {
  std::istringstream Words(StartLine);
  std::string Word;
  for (std::size_t I = 0; I <= Index; ++I) {
    if (!(Words >> Word))
      return "";
  }
  return Word;
}

std::string message::path() const {
  std::string Target = word(1);
  return Target.substr(0, Target.find('?'));
}

std::string message::query(std::string_view Name) const {
  std::string Target = word(1);
  auto Start = Target.find('?');
  if (Start == std::string::npos)
    return "";
  std::istringstream Parameters(Target.substr(Start + 1));
  std::string Parameter;
  while (std::getline(Parameters, Parameter, '&')) {
    auto Equals = Parameter.find('=');
    if (std::string_view(Parameter).substr(0, Equals) == Name &&
        Equals != std::string::npos)
      return percentDecode(std::string_view(Parameter).substr(Equals + 1));
  }
  return "";
}

int message::status() const { return std::atoi(word(1).c_str()); }

connection::~connection() { close(); }

void connection::close() {
  if (Descriptor >= 0)
    ::close(Descriptor);
  Descriptor = -1;
}

void connection::resetOnClose() const {
  linger Linger{1, 0};
  setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Linger, sizeof(Linger));
}

void connection::limitWaits(int Milliseconds) const {
  constexpr int PerSecond = 1000;
  timeval Time{Milliseconds / PerSecond,
               static_cast<suseconds_t>(Milliseconds % PerSecond) * PerSecond};
  setsockopt(Descriptor, SOL_SOCKET, SO_RCVTIMEO, &Time, sizeof(Time));
  setsockopt(Descriptor, SOL_SOCKET, SO_SNDTIMEO, &Time, sizeof(Time));
}

bool connection::write(std::string_view Bytes) const {
  while (!Bytes.empty()) {
    ssize_t Sent = send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

bool connection::fill() {
  constexpr std::size_t Size = 16384;
  char Bytes[Size];
  ssize_t Read = recv(Descriptor, Bytes, Size, 0);
  if (Read <= 0)
    return false;
  Buffer.append(Bytes, static_cast<std::size_t>(Read));
  return true;
}

std::optional<std::string> connection::readLine() {
  std::size_t End = 0;
  while ((End = Buffer.find("\r\n")) == std::string::npos) {
    if (!fill())
      return std::nullopt;
  }
  std::string Line = Buffer.substr(0, End);
  Buffer.erase(0, End + 2);
  return Line;
}

bool connection::readBytes(std::size_t Count, std::string &Out) {
  while (Buffer.size() < Count) {
    if (!fill())
      return false;
  }
  Out.append(Buffer, 0, Count);
  Buffer.erase(0, Count);
  return true;
}

std::optional<message> connection::readHead() {
  message Message;
  LastChunk = false;
  auto Line = readLine();
  if (!Line)
    return std::nullopt;
  Message.StartLine = *Line;
  while ((Line = readLine())) {
    if (Line->empty())
      return Message;
    auto Colon = Line->find(':');
    if (Colon == std::string::npos)
      return std::nullopt;
    auto Start = Line->find_first_not_of(" \t", Colon + 1);
    Message.Fields.emplace_back(
        Line->substr(0, Colon),
        Start == std::string::npos ? "" : Line->substr(Start));
  }
  return std::nullopt;
}

std::optional<std::string> connection::readChunk() {
  constexpr int Hexadecimal = 16;
  auto Line = readLine();
  if (!Line)
    return std::nullopt;
  std::size_t Size = std::strtoul(Line->c_str(), nullptr, Hexadecimal);
  if (Size == 0) {
    while ((Line = readLine()) && !Line->empty())
      continue;
    LastChunk = Line.has_value();
    return std::nullopt;
  }
  std::string Chunk;
  if (!readBytes(Size, Chunk) || !readLine())
    return std::nullopt;
  return Chunk;
}

bool connection::readBody(message &Message) {
  if (equalsIgnoringCase(Message.field("Transfer-Encoding"), "chunked")) {
    while (auto Chunk = readChunk())
      Message.Body += *Chunk;
    return LastChunk;
  }
  std::string Length = Message.field("Content-Length");
  return Length.empty() ||
         readBytes(std::strtoul(Length.c_str(), nullptr, 10), Message.Body);
}

std::optional<message> connection::readMessage() {
  auto Message = readHead();
  if (!Message || !readBody(*Message))
    return std::nullopt;
  return Message;
}

static sockaddr_in addressOf(const std::string &Ip, std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

static void setNoDelay(int Socket) {
  int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

int review::listenOn(const std::string &Ip, std::uint16_t Port) {
  constexpr int Backlog = 512;
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = addressOf(Ip, Port);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) ==
          0 &&
      listen(Socket, Backlog) == 0)
    return Socket;
  ::close(Socket);
  return -1;
}

std::uint16_t review::portOf(int Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

int review::connectTo(const std::string &Address) {
  auto Colon = Address.find(':');
  if (Colon == std::string::npos)
    return -1;
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Target = addressOf(
      Address.substr(0, Colon),
      static_cast<std::uint16_t>(std::atoi(Address.c_str() + Colon + 1)));
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Target), sizeof(Target)) ==
      0) {
    setNoDelay(Socket);
    return Socket;
  }
  ::close(Socket);
  return -1;
}

std::int64_t review::unixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void review::sleepMillis(std::int64_t Millis) {
  if (Millis > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(Millis));
}

void review::record(const std::string &File, const std::string &Line) {
  constexpr int Mode = 0644;
  int Descriptor =
      open(File.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, Mode);
  std::string Text = std::to_string(unixMillis()) + " " + Line + "\n";
  [[maybe_unused]] ssize_t Written =
      ::write(Descriptor, Text.data(), Text.size());
  ::close(Descriptor);
}

std::string review::option(int Argc, char **Argv, std::string_view Name,
                           const std::string &Default) {
  std::string Prefix = "--" + std::string(Name) + "=";
  for (int I = 1; I < Argc; ++I) {
    std::string_view Word(Argv[I]);
    if (Word.substr(0, Prefix.size()) == Prefix)
      return std::string(Word.substr(Prefix.size()));
  }
  return Default;
}
