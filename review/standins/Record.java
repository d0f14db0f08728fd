import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Path;

/** What was sent, answered and run: {@code record.txt} in the folder of a case. */
final class Record {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path folder) {
        try {
            out = new PrintWriter(folder.resolve("record.txt").toFile(), "UTF-8");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void line(String text) {
        out.printf("%8.3f %s%n", (System.nanoTime() - startNanos) / 1e9, text);
        out.flush();
    }
}
