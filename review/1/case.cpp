// Four control machines are replaced, one at a time.
#include "stand_in.hpp"

#include <cstdlib>

int main(int argc, char **argv)
{
    if (argc != 3)
        return 2;
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    record_file record(argv[2]);
    int result = 2;
    try {
        deployment system(argv[1], record, 2);
        const std::string service = "claims", host = "claims.example", prefix = "/lodge/";
        backend first(system, record, "i-1001", service, "akl-a");
        system.setList("{" + first.listEntry() + "}");
        system.startAll();
        const std::string sent = configuration(7, host, prefix, "unsafe", service, "2000ms");
        if (system.order("PUT", "/v1/config", sent, std::chrono::seconds(20)) != 200)
            throw cannot_run{"no configuration is accepted"};
        record.write("operator: PUT /v1/config, version 7, gets 200");
        system.waitUntilServing(host, prefix + "ready");
        std::this_thread::sleep_for(std::chrono::seconds(5));
        // The group bears the loss of one machine; a successor counts 4 s (`catch_up`) after its
        // start.
        for (std::size_t i = 0; i < 4; ++i) {
            if (hasTrouble)
                system.replaceControl(i);
            std::this_thread::sleep_for(std::chrono::seconds(i < 3 ? 12 : 8));
            if (i < 3) {
                std::string read;
                const int get
                    = system.order("GET", "/v1/config", "", std::chrono::seconds(4), &read);
                record.write("operator: GET /v1/config gets " + std::to_string(get)
                             + (read == sent ? ", what was sent" : ", not what was sent"));
            }
        }
        std::string read;
        const int get = system.order("GET", "/v1/config", "", std::chrono::seconds(15), &read);
        record.write("operator: GET /v1/config for 15 s gets " + std::to_string(get)
                     + (get == 0 ? " (no answer but 5xx)" : "")
                     + (read == sent ? ", what was sent" : ", not what was sent"));
        result = get == 200 && read == sent ? 0 : 1;
    } catch (const cannot_run &reason) {
        record.write("can't run: " + reason.reason);
        result = 2;
    }
    std::quick_exit(result);
}
