#include <ospreystage/commands.hpp>
#include <ospreystage/process.hpp>

namespace ospreystage {

exit_code run_entry(const settings& configuration) {
    process self(configuration);
    return self.run();
}

} // namespace ospreystage
