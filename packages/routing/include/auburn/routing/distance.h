// Network distance between this daemon and a backend server.
#pragma once

namespace auburn::routing {

enum class Distance { OwnDomain, OwnRegion, OtherRegion };

} // namespace auburn::routing
