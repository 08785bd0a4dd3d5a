#ifndef BLUEBELLKEEL_LIB_HTTP_BLOCKBODY_H
#define BLUEBELLKEEL_LIB_HTTP_BLOCKBODY_H

#include "BodyBlocks.h"
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <cstdint>

namespace bluebellkeel {

/// A body of Beast that receives into blocks.
struct block_body {
  // Beast prescribes these names.
  // NOLINTBEGIN(readability-identifier-naming)
  using value_type = body_blocks;

  class reader {
  public:
    template <bool IsRequest, typename fields_t>
    reader(boost::beast::http::header<IsRequest, fields_t> & /*Head*/,
           value_type &Body)
        : Body(Body) {}

    void init(const boost::optional<std::uint64_t> &Length,
              boost::beast::error_code &Code) {
      if (Length)
        Body.expect(static_cast<std::size_t>(*Length));
      Code = {};
    }
    template <typename buffers_t>
    std::size_t put(const buffers_t &Buffers, boost::beast::error_code &Code) {
      std::size_t Count = 0;
      for (auto I = boost::asio::buffer_sequence_begin(Buffers);
           I != boost::asio::buffer_sequence_end(Buffers); ++I) {
        boost::asio::const_buffer Buffer(*I);
        Body.append({static_cast<const char *>(Buffer.data()), Buffer.size()});
        Count += Buffer.size();
      }
      Code = {};
      return Count;
    }
    void finish(boost::beast::error_code &Code) { Code = {}; }

  private:
    value_type &Body;
  };
  // NOLINTEND(readability-identifier-naming)
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_BLOCKBODY_H
