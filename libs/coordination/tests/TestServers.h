#pragma once

#include "fleet/ServerEntry.h"

#include <string>

namespace sequoia::coordination {

inline fleet::ServerMap makeServers(int count)
{
    fleet::ServerMap map;
    for (int i = 0; i < count; ++i) {
        fleet::ServerEntry entry;
        entry.instance = { "i-" + std::to_string(1'000'000 + i), 1'774'424'386'000 + i };
        entry.service = "service" + std::to_string(i % 3);
        entry.address = "10.1." + std::to_string(i / 200) + "." + std::to_string(i % 200) + ":8302";
        entry.dataCentre = "casa-a";
        entry.slots = 2;
        map[entry.instance.id] = entry;
    }
    return map;
}

}
