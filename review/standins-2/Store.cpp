/// Stand-in for the platform's metadata store: keyed topics with appends,
/// long-poll reads and the newest record of each key. POST /put with the query
/// fields topic and key stands for the operator and for runners that register.

#include "Http.h"
#include <condition_variable>
#include <csignal>
#include <iostream>
#include <map>
#include <mutex>
#include <sys/socket.h>
#include <thread>

using namespace review;

namespace {

struct keyed_record {
  std::string Key;
  std::string Value;
};

class store {
public:
  void serve(int Socket);

private:
  struct reply {
    int Status;
    std::string Body;
  };

  reply answer(const message &Request);
  reply append(const message &Request);
  reply read(const message &Request);
  reply newest(const message &Request);
  void add(const std::string &Topic, keyed_record Record);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::vector<keyed_record>> Topics;
};

} // namespace

static std::string bigEndian(std::uint64_t Number, int Bytes) {
  constexpr unsigned BitsPerByte = 8;
  std::string Text;
  for (int I = Bytes - 1; I >= 0; --I)
    Text.push_back(
        static_cast<char>(Number >> (BitsPerByte * static_cast<unsigned>(I))));
  return Text;
}

static std::string frameOf(const keyed_record &Record) {
  return bigEndian(1 + Record.Key.size() + Record.Value.size(), 4) +
         bigEndian(Record.Key.size(), 1) + Record.Key + Record.Value;
}

static std::string base64(const std::string &Bytes) {
  constexpr std::string_view Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  constexpr std::size_t GroupBytes = 3;
  constexpr unsigned BitsPerByte = 8;
  constexpr unsigned BitsPerDigit = 6;
  constexpr unsigned DigitMask = 63;
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += GroupBytes) {
    std::uint32_t Group = 0;
    for (std::size_t J = I; J < I + GroupBytes; ++J)
      Group = Group << BitsPerByte |
              (J < Bytes.size() ? static_cast<unsigned char>(Bytes[J]) : 0U);
    std::size_t Left = Bytes.size() - I;
    for (std::size_t Digit = 0; Digit < 4; ++Digit)
      Text.push_back(
          Digit <= Left
              ? Digits[Group >> (BitsPerDigit * (3 - Digit)) & DigitMask]
              : '=');
  }
  return Text;
}

void store::add(const std::string &Topic, keyed_record Record) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Topics[Topic].push_back(std::move(Record));
  Changed.notify_all();
}

store::reply store::append(const message &Request) {
  constexpr std::size_t LengthBytes = 4;
  const std::string &Frame = Request.Body;
  if (Frame.size() <= LengthBytes)
    return {400, "{}"};
  auto KeySize = static_cast<unsigned char>(Frame[LengthBytes]);
  keyed_record Record{Frame.substr(LengthBytes + 1, KeySize),
                      Frame.substr(LengthBytes + 1 + KeySize)};
  std::lock_guard<std::mutex> Lock(Mutex);
  auto &Records = Topics[Request.query("topic")];
  std::size_t Offset = Records.size();
  std::string At = Request.query("at");
  if (!At.empty() && At != std::to_string(Offset))
    return {412, "{\"end\":" + std::to_string(Offset) + "}"};
  Records.push_back(std::move(Record));
  Changed.notify_all();
  return {200, "{\"offset\":" + std::to_string(Offset) +
                   ",\"end\":" + std::to_string(Offset + 1) + "}"};
}

store::reply store::read(const message &Request) {
  std::size_t From = std::strtoul(Request.query("from").c_str(), nullptr, 10);
  std::chrono::milliseconds Wait(
      std::atoi(Request.query("wait_timeout_ms").c_str()));
  std::unique_lock<std::mutex> Lock(Mutex);
  const auto &Records = Topics[Request.query("topic")];
  if (From > Records.size())
    return {410, "{\"first\":0}"};
  Changed.wait_for(Lock, Wait, [&] { return Records.size() > From; });
  std::string Body = bigEndian(Records.size(), 8) + bigEndian(0, 8);
  for (std::size_t I = From; I < Records.size(); ++I)
    Body += frameOf(Records[I]);
  return {200, Body};
}

store::reply store::newest(const message &Request) {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto Found = Topics.find(Request.query("topic"));
  if (Found == Topics.end())
    return {404, "{}"};
  std::map<std::string, std::size_t> Latest;
  for (std::size_t I = 0; I < Found->second.size(); ++I)
    Latest[Found->second[I].Key] = I;
  std::string Items;
  for (const auto &[Key, Offset] : Latest) {
    const std::string &Value = Found->second[Offset].Value;
    if (Value.empty())
      continue;
    Items += (Items.empty() ? "" : ",") + ("{\"key\":\"" + Key) +
             "\",\"value\":\"" + base64(Value) +
             "\",\"offset\":" + std::to_string(Offset) + "}";
  }
  return {200, "{\"items\":[" + Items + "],\"has_more\":false,\"end\":" +
                   std::to_string(Found->second.size()) + "}"};
}

store::reply store::answer(const message &Request) {
  if (Request.path() == "/put") {
    add(Request.query("topic"), {Request.query("key"), Request.Body});
    return {200, "{}"};
  }
  if (Request.path() == "/bluebellkeel/log-append")
    return append(Request);
  if (Request.path() == "/bluebellkeel/log-read")
    return read(Request);
  return newest(Request);
}

void store::serve(int Socket) {
  connection Connection(Socket);
  while (auto Request = Connection.readMessage()) {
    reply Reply = answer(*Request);
    if (!Connection.write("HTTP/1.1 " + std::to_string(Reply.Status) +
                          " x\r\nStore-Era: 1\r\nContent-Length: " +
                          std::to_string(Reply.Body.size()) + "\r\n\r\n" +
                          Reply.Body) ||
        Request->field("Connection") == "close")
      return;
  }
}

int main(int Argc, char **Argv) {
  std::signal(SIGPIPE, SIG_IGN);
  int Listener =
      listenOn("127.0.0.1", static_cast<std::uint16_t>(std::atoi(
                                option(Argc, Argv, "port", "0").c_str())));
  if (Listener < 0)
    return 1;
  auto *Store = new store;
  while (true) {
    int Socket = accept(Listener, nullptr, nullptr);
    if (Socket >= 0)
      std::thread([Store, Socket] { Store->serve(Socket); }).detach();
  }
}
