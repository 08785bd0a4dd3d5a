#include "BodyBlocks.h"
#include <algorithm>

using namespace bluebellkeel;

void body_blocks::append(std::string_view Bytes) {
  while (!Bytes.empty()) {
    if (Blocks.empty() || Blocks.back().size() == Blocks.back().capacity()) {
      Blocks.emplace_back().reserve(NextBlockBytes);
      NextBlockBytes = BlockBytes;
    }
    std::string &Block = Blocks.back();
    std::size_t Count = std::min(Bytes.size(), Block.capacity() - Block.size());
    Block.append(Bytes.substr(0, Count));
    Size += Count;
    Bytes.remove_prefix(Count);
  }
}

std::string body_blocks::take() {
  std::string Text;
  if (Blocks.size() == 1) {
    Text = std::move(Blocks.front());
    Text.shrink_to_fit();
  } else {
    Text.reserve(Size);
    for (; !Blocks.empty(); Blocks.pop_front())
      Text += Blocks.front();
  }
  clear();
  return Text;
}
