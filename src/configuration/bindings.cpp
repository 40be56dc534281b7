#include "configuration/bindings.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace pimentoshed::configuration
{

namespace
{

/** Puts a value into one member of @p Owner. */
template<typename Owner>
using Setter = std::function<void(Owner &, const Value &)>;

/** One key and its member. */
template<typename Owner>
struct Binding {
    Key key;
    Setter<Owner> set;
};

template<typename Owner>
using Bindings = std::vector<Binding<Owner>>;

template<typename Owner, typename Member>
Setter<Owner> integer(Member Owner::*member)
{
    return [member](Owner &owner, const Value &value) {
        owner.*member = static_cast<Member>(std::get<std::int64_t>(value));
    };
}

template<typename Owner>
Setter<Owner> milliseconds(core::Duration Owner::*member)
{
    return [member](Owner &owner, const Value &value) {
        owner.*member = std::chrono::milliseconds(std::get<std::int64_t>(value));
    };
}

/** For members of the very type of the value, and for ids made of a string. */
template<typename Kind, typename Owner, typename Member>
Setter<Owner> plain(Member Owner::*member)
{
    return [member](Owner &owner, const Value &value) {
        owner.*member = Member(std::get<Kind>(value));
    };
}

const Bindings<Configuration> FileBindings{
    {Key::Replaces, integer(&Configuration::replaces)},
    {Key::FailureDomains,
     [](Configuration &configuration, const Value &value) {
         configuration.failureDomains.clear();
         for (const auto &name : std::get<std::vector<std::string>>(value)) {
             configuration.failureDomains.emplace_back(name);
         }
     }},
};

const Bindings<Limits> LimitsBindings{
    {Key::Permission, milliseconds(&Limits::permission)},
    {Key::TargetLease, milliseconds(&Limits::targetLease)},
    {Key::AddressLifetime, milliseconds(&Limits::addressLifetime)},
    {Key::AddressCount, integer(&Limits::addressCount)},
    {Key::RequestKeyRetention, milliseconds(&Limits::requestKeyRetention)},
    {Key::RequestKeyCapacity, integer(&Limits::requestKeyCapacity)},
};

const Bindings<Institution> InstitutionBindings{
    {Key::Weight, integer(&Institution::weight)},
};

const Bindings<ControlHost> ControlHostBindings{
    {Key::Address, plain<std::string>(&ControlHost::address)},
};

const Bindings<Service> ServiceBindings{
    {Key::Institution, plain<std::string>(&Service::institution)},
    {Key::PathPrefix, plain<std::string>(&Service::pathPrefix)},
    {Key::Slots, integer(&Service::slots)},
    {Key::ColdSlots, integer(&Service::coldSlots)},
    {Key::WarmUp, milliseconds(&Service::warmUp)},
    {Key::Connections, integer(&Service::connections)},
    {Key::Deadline, milliseconds(&Service::deadline)},
    {Key::MaxRequestBytes, integer(&Service::maxRequestBytes)},
    {Key::QueueLimit, integer(&Service::queueLimit)},
    {Key::Importance, integer(&Service::importance)},
    {Key::IdempotentMethods, plain<std::vector<std::string>>(&Service::idempotentMethods)},
    {Key::RequestKeyHeader, plain<std::string>(&Service::requestKeyHeader)},
    {Key::ShedIsNotRun, plain<bool>(&Service::shedIsNotRun)},
    {Key::ProbesPerSecond, plain<double>(&Service::probesPerSecond)},
    {Key::RetryRatio, plain<double>(&Service::retryRatio)},
};

template<typename Owner>
ValueSetter storeBy(const Bindings<Owner> &bindings, Owner &owner)
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
        [](const auto &any) -> Value {
            using Type = std::decay_t<decltype(any)>;
            if constexpr (std::is_same_v<Type, Required> || std::is_same_v<Type, EmptyList>) {
                return std::vector<std::string>();
            } else if constexpr (std::is_same_v<Type, std::string_view>) {
                return std::string(any);
            } else {
                return any;
            }
        },
        row.otherwise);
}

ValueSetter storeInto(Configuration &configuration)
{
    return storeBy(FileBindings, configuration);
}

ValueSetter storeInto(Limits &limits)
{
    return storeBy(LimitsBindings, limits);
}

ValueSetter storeInto(Institution &institution)
{
    return storeBy(InstitutionBindings, institution);
}

ValueSetter storeInto(ControlHost &host)
{
    return storeBy(ControlHostBindings, host);
}

ValueSetter storeInto(Service &service)
{
    return storeBy(ServiceBindings, service);
}

} // namespace pimentoshed::configuration
