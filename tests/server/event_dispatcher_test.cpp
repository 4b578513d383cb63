#include "event_dispatcher.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace gateway::server::test {
namespace {

decision::Settings settings_of_one_class() {
    decision::Settings settings;
    decision::RequestClass request_class;
    request_class.name = "read";
    request_class.latency_objective = std::chrono::milliseconds(100);
    request_class.deadline = std::chrono::seconds(1);
    settings.classes.push_back(request_class);
    return settings;
}

// The decision module answers this event with SaveSnapshot at once, but only if it has not handed over
// already.
decision::Event handover() { return decision::HandedOver{true}; }
decision::Event return_of_handover() { return decision::HandedOver{false}; }

struct EventDispatcherTest : ::testing::Test {
    Clock clock;
    decision::Gateway gateway{settings_of_one_class(), 1, clock.now()};
    std::vector<std::string> log;
    int snapshots = 0;
    std::function<void()> on_first_snapshot = [] {};
    EventDispatcher dispatcher{gateway, clock, [this](decision::Action& action) { execute(action); },
                               [this] { log.push_back("empty"); }};

    void dispatch_second_handover() {
        dispatcher.dispatch(return_of_handover());
        dispatcher.dispatch(handover());
    }
    void execute(const decision::Action& action) {
        if (!std::holds_alternative<decision::SaveSnapshot>(action)) return;
        const std::string number = std::to_string(++snapshots);
        log.push_back("begin " + number);
        if (snapshots == 1) on_first_snapshot();
        log.push_back("end " + number);
    }
};

TEST_F(EventDispatcherTest, DispatchesAnEventFromAnActionAfterThatAction) {
    on_first_snapshot = [this] { dispatch_second_handover(); };
    dispatcher.dispatch(handover());
    EXPECT_EQ(log, (std::vector<std::string>{"begin 1", "end 1", "begin 2", "end 2", "empty"}));
}

TEST_F(EventDispatcherTest, DispatchesAnEventAfterItsConsequenceAndBeforeTheEventsThatItCauses) {
    dispatcher.dispatch_before(handover(), [this] {
        log.push_back("consequence");
        dispatch_second_handover();
    });
    EXPECT_EQ(log,
              (std::vector<std::string>{"consequence", "begin 1", "end 1", "begin 2", "end 2", "empty"}));
}

}  // namespace
}  // namespace gateway::server::test
