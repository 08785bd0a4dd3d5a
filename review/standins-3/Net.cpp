#include "Net.h"
#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstring>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace review;

using steady = std::chrono::steady_clock;

std::string review::host() {
  constexpr int Bits = 8;
  constexpr int Mask = 255;
  int Process = getpid();
  return "127." + std::to_string(1 + (Process >> Bits) % Mask) + "." +
         std::to_string(Process & Mask) + ".1";
}

static sockaddr_in loopback(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, host().c_str(), &Address.sin_addr);
  return Address;
}

std::string message::header(const std::string &Name) const {
  for (const auto &[Key, Value] : Headers) {
    if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
      return Value;
  }
  return "";
}

std::string message::word(std::size_t Index) const {
  std::istringstream Words(Start);
  std::string Word;
  for (std::size_t I = 0; I <= Index; ++I)
    Words >> Word;
  return Word;
}

std::string message::query(const std::string &Name) const {
  std::string Target = target();
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    std::size_t End = Target.find('&', At + 1);
    std::string Field = Target.substr(At + 1, End - At - 1);
    if (Field.compare(0, Name.size() + 1, Name + "=") == 0)
      return Field.substr(Name.size() + 1);
    At = End;
  }
  return "";
}

connection::~connection() { ::close(Fd); }

void connection::reset() {
  linger Linger{1, 0};
  setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Linger, sizeof(Linger));
  // Connecting to no address aborts the connection and keeps the descriptor.
  sockaddr Unspecified{};
  Unspecified.sa_family = AF_UNSPEC;
  (void)::connect(Fd, &Unspecified, sizeof(Unspecified));
}

void connection::shutDown() { ::shutdown(Fd, SHUT_RDWR); }

bool connection::closedByPeer() const {
  char Byte = 0;
  ssize_t Count = ::recv(Fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool connection::write(const std::string &Bytes) {
  std::size_t Written = 0;
  while (Written < Bytes.size()) {
    ssize_t Count = ::send(Fd, Bytes.data() + Written, Bytes.size() - Written,
                           MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Written += static_cast<std::size_t>(Count);
  }
  return true;
}

bool connection::receive(steady::time_point End) {
  auto Left =
      std::chrono::duration_cast<milliseconds>(End - steady::now()).count();
  pollfd Poll{Fd, POLLIN, 0};
  if (Left <= 0 || ::poll(&Poll, 1, static_cast<int>(Left)) <= 0)
    return false;
  char Bytes[16384];
  ssize_t Count = ::recv(Fd, Bytes, sizeof(Bytes), 0);
  if (Count <= 0)
    return false;
  Buffer.append(Bytes, static_cast<std::size_t>(Count));
  return true;
}

bool connection::readChunks(std::string &Body, steady::time_point End) {
  while (true) {
    std::size_t LineEnd = 0;
    while ((LineEnd = Buffer.find("\r\n")) == std::string::npos) {
      if (!receive(End))
        return false;
    }
    std::size_t Size = std::stoul(Buffer.substr(0, LineEnd), nullptr, 16);
    std::size_t Needed = LineEnd + 2 + Size + 2;
    while (Buffer.size() < Needed) {
      if (!receive(End))
        return false;
    }
    Body += Buffer.substr(LineEnd + 2, Size);
    Buffer.erase(0, Needed);
    if (Size == 0)
      return true;
  }
}

std::optional<message> connection::read(milliseconds Time, bool IsResponse) {
  auto End = steady::now() + Time;
  std::size_t HeadEnd = 0;
  while ((HeadEnd = Buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!receive(End))
      return std::nullopt;
  }
  std::istringstream Head(Buffer.substr(0, HeadEnd + 2));
  Buffer.erase(0, HeadEnd + 4);
  message Message;
  std::string Line;
  std::getline(Head, Message.Start);
  Message.Start.pop_back();
  while (std::getline(Head, Line)) {
    Line.pop_back();
    std::size_t Colon = Line.find(':');
    std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
    Message.Headers.emplace_back(
        Line.substr(0, Colon),
        Value == std::string::npos ? "" : Line.substr(Value));
  }
  std::string Length = Message.header("Content-Length");
  if (Message.header("Transfer-Encoding") == "chunked") {
    Message.Whole = readChunks(Message.Body, End);
    return Message;
  }
  if (Length.empty() && !IsResponse) {
    Message.Whole = true;
    return Message;
  }
  if (Length.empty()) {
    while (receive(End))
      continue;
    Message.Body = std::exchange(Buffer, "");
    Message.Whole = true;
    return Message;
  }
  std::size_t Size = std::stoul(Length);
  while (Buffer.size() < Size && receive(End))
    continue;
  Message.Whole = Buffer.size() >= Size;
  Message.Body = Buffer.substr(0, Size);
  Buffer.erase(0, std::min(Size, Buffer.size()));
  return Message;
}

std::shared_ptr<connection> review::connectTo(int Port) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Connection = std::make_shared<connection>(Fd);
  sockaddr_in Address = loopback(Port);
  if (::connect(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) !=
      0)
    return nullptr;
  int On = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Connection;
}

std::string review::response(int Status, const std::string &Headers,
                             const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Returns true if a server can listen on \p Port.
static bool isFree(int Port) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = loopback(Port);
  bool Bound =
      ::bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) == 0;
  ::close(Fd);
  return Bound;
}

std::vector<int> review::freePorts(std::size_t Count) {
  // Below the ports that the system gives to outgoing connections.
  constexpr int FirstPort = 10000;
  constexpr int LastPort = 32000;
  std::mt19937 Random(std::random_device{}());
  std::uniform_int_distribution<int> Ports(FirstPort, LastPort);
  std::set<int> Found;
  while (Found.size() < Count) {
    int Port = Ports(Random);
    if (isFree(Port))
      Found.insert(Port);
  }
  return {Found.begin(), Found.end()};
}

void server::start() {
  Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = loopback(Port);
  if (::bind(Listener, reinterpret_cast<sockaddr *>(&Address),
             sizeof(Address)) != 0 ||
      ::listen(Listener, SOMAXCONN) != 0) {
    std::perror("cannot listen");
    std::_Exit(2);
  }
  Acceptor = std::thread([this] { accept(); });
}

void server::accept() {
  while (true) {
    int Fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Fd < 0)
      return;
    int On = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    auto Connection = std::make_shared<connection>(Fd);
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Connections.insert(Connection);
    }
    ++Serving;
    std::thread([this, Connection] { serve(Connection); }).detach();
  }
}

void server::serve(const std::shared_ptr<connection> &Connection) {
  constexpr milliseconds IdleTime{60000};
  while (auto Request = Connection->read(IdleTime, /*IsResponse=*/false)) {
    if (!Request->Whole)
      break;
    Handler(*Connection, *Request);
  }
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Connections.erase(Connection);
  }
  --Serving;
}

void server::stop() {
  if (Listener < 0)
    return;
  ::shutdown(Listener, SHUT_RDWR);
  Acceptor.join();
  ::close(std::exchange(Listener, -1));
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &Connection : Connections)
      Connection->reset();
  }
  while (Serving > 0)
    std::this_thread::sleep_for(milliseconds(1));
}
