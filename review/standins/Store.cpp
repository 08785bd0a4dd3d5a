#include "Store.h"
#include <chrono>
#include <cstdlib>

using namespace review;

static constexpr int Ok = 200;
static constexpr int NotFound = 404;
static constexpr int Gone = 410;
static constexpr int PreconditionFailed = 412;

static constexpr unsigned BitsPerByte = 8;
static constexpr unsigned ByteMask = 0xff;

static std::string bigEndian(std::uint64_t Number, unsigned Bytes) {
  std::string Text;
  for (unsigned I = Bytes; I > 0; --I)
    Text.push_back(
        static_cast<char>(Number >> (BitsPerByte * (I - 1)) & ByteMask));
  return Text;
}

static std::string base64(const std::string &Bytes) {
  static constexpr char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  constexpr unsigned DigitBits = 6;
  constexpr unsigned DigitMask = 63;
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    unsigned Group = 0;
    for (std::size_t J = I; J < I + 3; ++J)
      Group = Group << BitsPerByte |
              (J < Bytes.size() ? static_cast<unsigned char>(Bytes[J]) : 0U);
    for (unsigned J = 0; J < 4; ++J) {
      bool Padding = I + J > Bytes.size();
      Text.push_back(
          Padding ? '=' : Digits[Group >> (DigitBits * (3 - J)) & DigitMask]);
    }
  }
  return Text;
}

void store::put(const std::string &Topic, const std::string &Key,
                const std::string &Value) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Topics[Topic].emplace_back(Key, Value);
  Changed.notify_all();
}

void store::serve(connection &Connection) {
  message Request;
  while (Connection.read(Request) == read_result::Complete) {
    message Response = respond(Request);
    Response.Fields.emplace_back("Store-Era", "1");
    if (!Connection.send(format(Response)) ||
        Request.get("Connection") == "close")
      return;
  }
}

message store::respond(const message &Request) {
  std::string Path = Request.path();
  if (Path == "/bluebellkeel/log-append")
    return append(Request);
  if (Path == "/bluebellkeel/log-read")
    return read(Request);
  if (Path == "/bluebellkeel/log-newest")
    return newest(Request);
  return makeResponse(NotFound, {}, "");
}

/// Appends one record, whose frame is a length of four bytes, the length of the
/// key in one byte, the key and the value.
message store::append(const message &Request) {
  constexpr std::size_t HeadBytes = 5;
  std::lock_guard<std::mutex> Lock(Mutex);
  record_list &Records = Topics[Request.query("topic")];
  std::string At = Request.query("at");
  std::string End = std::to_string(Records.size());
  if (!At.empty() && At != End)
    return makeResponse(PreconditionFailed, {}, "{\"end\":" + End + "}");
  if (Request.Body.size() >= HeadBytes) {
    auto KeySize = static_cast<unsigned char>(Request.Body[HeadBytes - 1]);
    Records.emplace_back(Request.Body.substr(HeadBytes, KeySize),
                         Request.Body.substr(HeadBytes + KeySize));
  }
  Changed.notify_all();
  return makeResponse(Ok, {},
                      "{\"offset\":" + End +
                          ",\"end\":" + std::to_string(Records.size()) + "}");
}

message store::read(const message &Request) {
  constexpr unsigned OffsetBytes = 8;
  constexpr unsigned LengthBytes = 4;
  std::size_t From = std::strtoul(Request.query("from").c_str(), nullptr, 10);
  std::chrono::milliseconds Wait(
      std::atol(Request.query("wait_timeout_ms").c_str()));
  std::unique_lock<std::mutex> Lock(Mutex);
  record_list &Records = Topics[Request.query("topic")];
  if (From > Records.size())
    return makeResponse(Gone, {}, "{\"first\":0}");
  Changed.wait_for(Lock, Wait, [&] { return Records.size() > From; });
  std::string Body =
      bigEndian(Records.size(), OffsetBytes) + bigEndian(0, OffsetBytes);
  for (std::size_t I = From; I < Records.size(); ++I) {
    const auto &[Key, Value] = Records[I];
    Body += bigEndian(1 + Key.size() + Value.size(), LengthBytes);
    Body += bigEndian(Key.size(), 1) + Key + Value;
  }
  return makeResponse(Ok, {}, Body);
}

message store::newest(const message &Request) {
  std::lock_guard<std::mutex> Lock(Mutex);
  const record_list &Records = Topics[Request.query("topic")];
  std::map<std::string, std::size_t> Latest;
  for (std::size_t I = 0; I < Records.size(); ++I)
    Latest[Records[I].first] = I;
  std::string Items;
  for (const auto &[Key, Offset] : Latest) {
    if (Records[Offset].second.empty())
      continue;
    Items += Items.empty() ? "" : ",";
    Items += "{\"key\":\"" + Key + "\",\"value\":\"" +
             base64(Records[Offset].second) +
             "\",\"offset\":" + std::to_string(Offset) + "}";
  }
  return makeResponse(Ok, {},
                      "{\"items\":[" + Items + "],\"has_more\":false,\"end\":" +
                          std::to_string(Records.size()) + "}");
}
