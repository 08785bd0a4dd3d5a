#include "bluebellkeel/Settings/RoutingSettings.h"

using namespace bluebellkeel;

namespace {
/// Indexes of the path segments in the settings schema.
enum segment_index { GroupSegment = 1, NameSegment = 2, FieldSegment = 3 };
constexpr std::size_t OperationSegment = 4;
constexpr std::size_t OperationFieldSegment = 5;
} // namespace

template <typename id_t>
static std::set<id_t> toIds(const setting_value::text_list &Texts) {
  std::set<id_t> Ids;
  for (const auto &Text : Texts)
    Ids.insert(id_t(Text));
  return Ids;
}

routing_settings::routing_settings(const settings_state &State)
    : Applied(State.applied()) {
  for (const auto &[Path, Value] : State.values()) {
    const std::string &Group = Path.segments().at(GroupSegment);
    if (Group == "accounts")
      readAccount(Path, Value);
    if (Group == "versions")
      readVersion(Path, Value);
    if (Group == "services")
      readOperation(Path, Value);
    if (Group == "data-centres")
      readDataCentre(Path, Value);
  }
}

void routing_settings::readAccount(const settings_path &Path,
                                   const setting_value &Value) {
  account_id Id(Path.segments().at(NameSegment));
  const std::string &Field = Path.segments().at(FieldSegment);
  auto &Account = Accounts.try_emplace(Id, Id).first->second;
  if (Field == "api-key") {
    Account = Account.withApiKey(*Value.asText());
    AccountsByApiKey[*Value.asText()] = Id;
  }
  if (Field == "versions")
    Account = Account.withVersions(toIds<version_id>(*Value.asList()));
  if (Field == "services")
    Account = Account.withServices(toIds<service_id>(*Value.asList()));
  if (Field == "quality-target")
    Account = Account.withQualityTarget(*Value.asNumber());
}

void routing_settings::readVersion(const settings_path &Path,
                                   const setting_value &Value) {
  version_id Id(Path.segments().at(NameSegment));
  const std::string &Field = Path.segments().at(FieldSegment);
  auto &Version = Versions.try_emplace(Id, Id).first->second;
  if (Field == "stage")
    Version = Version.withStage(*parseVersionStage(*Value.asText()));
  if (Field == "cost")
    Version = Version.withCost(*Value.asNumber());
  if (Field == "quality")
    Version = Version.withQuality(*Value.asNumber());
  if (Field == "share")
    Version = Version.withShare(*Value.asNumber());
}

void routing_settings::readOperation(const settings_path &Path,
                                     const setting_value &Value) {
  service_id Service(Path.segments().at(NameSegment));
  const std::string &Name = Path.segments().at(OperationSegment);
  const std::string &Field = Path.segments().at(OperationFieldSegment);
  auto &Operation = Operations[{Service, Name}];
  bool Idempotent = Operation.idempotent();
  double Cost = Operation.cost();
  if (Field == "idempotent")
    Idempotent = *Value.asBool();
  if (Field == "cost")
    Cost = *Value.asNumber();
  Operation = service_operation(Service, Name, Idempotent, Cost);
}

void routing_settings::readDataCentre(const settings_path &Path,
                                      const setting_value &Value) {
  if (*Value.asText() == "out")
    OutOfService.insert(data_centre_id(Path.segments().at(NameSegment)));
}

template <typename map_t, typename key_t>
static auto findOrNull(const map_t &Map, const key_t &Key) {
  auto Found = Map.find(Key);
  return Found == Map.end() ? nullptr : &Found->second;
}

const account_settings *routing_settings::account(const account_id &Id) const {
  return findOrNull(Accounts, Id);
}

const account_settings *
routing_settings::accountByApiKey(const std::string &ApiKey) const {
  const account_id *Id = findOrNull(AccountsByApiKey, ApiKey);
  return Id ? account(*Id) : nullptr;
}

const version_settings *routing_settings::version(const version_id &Id) const {
  return findOrNull(Versions, Id);
}

const service_operation *
routing_settings::operation(const service_id &Service,
                            const std::string &Name) const {
  return findOrNull(Operations, std::make_pair(Service, Name));
}

bool routing_settings::isOutOfService(const data_centre_id &DataCentre) const {
  return OutOfService.count(DataCentre) > 0;
}
