#include "common/random.h"

#include "common/hash.h"

namespace guavaspan {

Random randomFromSystem()
{
    std::random_device device;
    std::seed_seq seed { device(), device(), device(), device() };
    return Random(seed);
}

std::string randomId(Random& random)
{
    return hexOf(random());
}

}
