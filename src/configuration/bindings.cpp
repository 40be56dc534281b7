#include "configuration/bindings.h"

#include "configuration/keydigest.h"

#include <algorithm>
#include <iterator>
#include <type_traits>
#include <utility>

namespace pimentoshed::configuration
{

namespace
{

/** Assigns a value to one member of @p Owner. */
template<typename Owner>
using MemberSetter = std::function<void(Owner &, const Value &)>;

/** A key, and how its value is assigned. */
template<typename Owner>
struct Binding {
    Key key;
    MemberSetter<Owner> set;
};

template<typename Owner>
using Bindings = std::vector<Binding<Owner>>;

template<typename Owner, typename Member>
MemberSetter<Owner> integerSetter(Member Owner::*member)
{
    return [member](Owner &owner, const Value &value) {
        owner.*member = static_cast<Member>(std::get<std::int64_t>(value));
    };
}

template<typename Owner>
MemberSetter<Owner> millisecondsSetter(core::Duration Owner::*member)
{
    return [member](Owner &owner, const Value &value) {
        owner.*member = std::chrono::milliseconds(std::get<std::int64_t>(value));
    };
}

/** For members that are constructed from @p Kind directly: the same type, or an id made of a string. */
template<typename Kind, typename Owner, typename Member>
MemberSetter<Owner> directSetter(Member Owner::*member)
{
    return [member](Owner &owner, const Value &value) {
        owner.*member = Member(std::get<Kind>(value));
    };
}

const Bindings<Configuration> FileBindings{
    {Key::Replaces, integerSetter(&Configuration::replaces)},
    {Key::FailureDomains,
     [](Configuration &configuration, const Value &value) {
         configuration.failureDomains.clear();
         for (const auto &name : std::get<std::vector<std::string>>(value)) {
             configuration.failureDomains.emplace_back(name);
         }
     }},
};

const Bindings<Limits> LimitsBindings{
    {Key::Permission, millisecondsSetter(&Limits::permission)},
    {Key::TargetLease, millisecondsSetter(&Limits::targetLease)},
    {Key::AddressLifetime, millisecondsSetter(&Limits::addressLifetime)},
    {Key::AddressCount, integerSetter(&Limits::addressCount)},
    {Key::RequestKeyRetention, millisecondsSetter(&Limits::requestKeyRetention)},
    {Key::RequestKeyCapacity, integerSetter(&Limits::requestKeyCapacity)},
};

const Bindings<Institution> InstitutionBindings{
    {Key::Weight, integerSetter(&Institution::weight)},
};

const Bindings<Workspace> WorkspaceBindings{
    {Key::WorkspaceKeys,
     [](Workspace &workspace, const Value &value) {
         const auto &keys = std::get<std::vector<std::string>>(value);
         workspace.keys.reserve(keys.size());
         std::transform(keys.begin(), keys.end(), std::back_inserter(workspace.keys), digestOfKey);
     }},
    {Key::WorkspaceImportance, integerSetter<Workspace, std::optional<unsigned>>(&Workspace::importance)},
    {Key::RequestsPerSecond, directSetter<double>(&Workspace::requestsPerSecond)},
    {Key::Burst, directSetter<double>(&Workspace::burst)},
};

const Bindings<ControlHost> ControlHostBindings{
    {Key::Address, directSetter<std::string>(&ControlHost::address)},
};

const Bindings<Service> ServiceBindings{
    {Key::Institution, directSetter<std::string>(&Service::institution)},
    {Key::PathPrefix, directSetter<std::string>(&Service::pathPrefix)},
    {Key::Slots, integerSetter(&Service::slots)},
    {Key::ColdSlots, integerSetter(&Service::coldSlots)},
    {Key::WarmUp, millisecondsSetter(&Service::warmUp)},
    {Key::Connections, integerSetter(&Service::connections)},
    {Key::Deadline, millisecondsSetter(&Service::deadline)},
    {Key::MaxRequestBytes, integerSetter(&Service::maxRequestBytes)},
    {Key::QueueLimit, integerSetter(&Service::queueLimit)},
    {Key::Importance, integerSetter(&Service::importance)},
    {Key::Public, directSetter<bool>(&Service::isPublic)},
    {Key::IdempotentMethods, directSetter<std::vector<std::string>>(&Service::idempotentMethods)},
    {Key::RequestKeyHeader, directSetter<std::string>(&Service::requestKeyHeader)},
    {Key::ShedIsNotRun, directSetter<bool>(&Service::shedIsNotRun)},
    {Key::ProbesPerSecond, directSetter<double>(&Service::probesPerSecond)},
    {Key::RetryRatio, directSetter<double>(&Service::retryRatio)},
    {Key::HedgeRatio, directSetter<double>(&Service::hedgeRatio)},
};

template<typename Owner>
ValueSetter makeSetter(const Bindings<Owner> &bindings, Owner &owner)
{
    return [&bindings, &owner](Key key, const Value &value) {
        const auto found = std::find_if(bindings.begin(), bindings.end(), [key](const Binding<Owner> &binding) {
            return binding.key == key;
        });
        if (found != bindings.end()) {
            found->set(owner, value);
        }
    };
}

} // namespace

Value defaultOf(const KeyRow &row)
{
    return std::visit(
        [](const auto &value) -> Value {
            using Type = std::decay_t<decltype(value)>;
            if constexpr (std::is_same_v<Type,
                                         Required> || std::is_same_v<Type, EmptyList> || std::is_same_v<Type, Unset>) {
                return std::vector<std::string>();
            } else if constexpr (std::is_same_v<Type, std::string_view>) {
                return std::string(value);
            } else {
                return value;
            }
        },
        row.defaultValue);
}

ValueSetter setterFor(Configuration &configuration)
{
    return makeSetter(FileBindings, configuration);
}

ValueSetter setterFor(Limits &limits)
{
    return makeSetter(LimitsBindings, limits);
}

ValueSetter setterFor(Institution &institution)
{
    return makeSetter(InstitutionBindings, institution);
}

ValueSetter setterFor(Workspace &workspace)
{
    return makeSetter(WorkspaceBindings, workspace);
}

ValueSetter setterFor(ControlHost &host)
{
    return makeSetter(ControlHostBindings, host);
}

ValueSetter setterFor(Service &service)
{
    return makeSetter(ServiceBindings, service);
}

} // namespace pimentoshed::configuration
