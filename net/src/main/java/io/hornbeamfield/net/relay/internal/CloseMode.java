package io.hornbeamfield.net.relay.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.StandardSocketOptions;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;

/** How the remote side sees the end of a connection that this process closes, or that ends with the process. */
enum CloseMode {
    /** End of stream (FIN) after all data that was sent. */
    ORDERLY(-1),
    /** Connection reset (RST). */
    RESET(0);

    private final int lingerSeconds;

    CloseMode(int lingerSeconds) {
        this.lingerSeconds = lingerSeconds;
    }

    static void set(Connection<?> connection, CloseMode mode) {
        SocketChannel channel = (SocketChannel) ((NIOConnection) connection).getChannel();
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, mode.lingerSeconds);
        } catch (ClosedChannelException e) {
            // The remote side has closed the connection, which handleClose reports.
            return;
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot set how the connection " + connection + " is closed.", e);
        }
    }
}
