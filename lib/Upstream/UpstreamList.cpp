#include "bluebellkeel/Upstream/UpstreamList.h"

using namespace bluebellkeel;

upstream_list::upstream_list(record_list GivenRecords)
    : Records(std::move(GivenRecords)) {
  for (std::size_t Index = 0; Index < Records.size(); ++Index) {
    ByPool[Records[Index].pool()].push_back(Records[Index]);
    Positions[Records[Index].id()] = Index;
  }
}

const upstream_list::record_list &
upstream_list::pool(const pool_id &Pool) const {
  static const record_list None;
  auto Found = ByPool.find(Pool);
  return Found == ByPool.end() ? None : Found->second;
}

const upstream_record *upstream_list::find(const upstream_id &Id) const {
  auto Found = Positions.find(Id);
  return Found == Positions.end() ? nullptr : &Records[Found->second];
}
