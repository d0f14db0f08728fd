package io.hornbeamfield.router.traffic.internal;

/** One attempt to run a request at a backend server. All calls are made on the executor of the request. */
interface Attempt {
    /** Sends the request. The listener hears of the end exactly once. */
    void start();

    /** Stops the attempt where the backend server allows it; the end is reported later. */
    void cancel();

    /** Hears of an attempt's progress on the executor of the request. */
    interface Listener {
        /** Called for each part of a model answer, in order and without gaps. */
        void content(Chunk chunk);

        /** Called at the end. */
        void ended(AttemptEnd end);
    }
}
