#include "fault_injector.h"

#include <cstdio>

#include "plan.h"

namespace fault_soak {

FaultInjector::FaultInjector(Testbed& testbed)
    : testbed_(testbed), host_changing_(testbed.host_stubs.size()) {}

Task FaultInjector::run_fault(Fault fault) {
    co_await sleep_for(fault.begin);
    if (!claim_target(fault)) co_return;
    if (testbed_.options.verbose) std::printf("%s\n", describe(fault).c_str());
    co_await fault.kind->inject(*this, fault);
    release_target(fault);
}

bool FaultInjector::claim_target(const Fault& fault) {
    if (fault.kind->target == FaultTarget::gateway) {
        GatewayUnderTest& gateway = gateway_of(fault);
        return !std::exchange(gateway.changing, true);
    }
    if (fault.kind->target == FaultTarget::host) {
        const auto host = static_cast<std::size_t>(fault.host);
        if (host_changing_[host]) return false;
        host_changing_[host] = true;
    }
    return true;
}

void FaultInjector::release_target(const Fault& fault) {
    if (fault.kind->target == FaultTarget::gateway) gateway_of(fault).changing = false;
    if (fault.kind->target == FaultTarget::host) host_changing_[static_cast<std::size_t>(fault.host)] = false;
}

GatewayUnderTest& FaultInjector::gateway_of(const Fault& fault) { return testbed_.gateway(fault.gateway); }
HostStub& FaultInjector::host_of(const Fault& fault) { return testbed_.host_stub(fault.host); }
LinkFaults& FaultInjector::link_of(const Fault& fault) {
    return testbed_.proxy->faults(fault.gateway, fault.host);
}
Task FaultInjector::sleep_for(Clock::duration duration) {
    return fault_soak::sleep_for(testbed_.io, duration);
}

}  // namespace fault_soak
