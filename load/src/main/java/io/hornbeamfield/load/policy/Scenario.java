package io.hornbeamfield.load.policy;

/** What happens to the routers during a trace. */
enum Scenario {
    /** All routers are up; two are replaced gracefully. */
    ALL_UP,
    /** One third of the routers cannot reach the platform for ten minutes; their peers can be reached. */
    PARTITION,
    /** Two routers are killed with open streams and replaced; an operator releases their entries after five minutes. */
    KILLS,
    /** Two routers are killed with open streams and replaced; nobody releases their entries. */
    UNRELEASED
}
