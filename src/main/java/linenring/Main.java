package linenring;

import java.io.IOException;
import linenring.wirehost.WireHost;

/** The command line: one subcommand for each way the decisions are reached. */
public final class Main {
    private static final String USAGE = """
            usage: linenring SUBCOMMAND
              wirehost   decide over the simulator's wire on standard input and output""";

    private Main() {
    }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println(USAGE);
            System.exit(2);
        }
        System.exit(WireHost.run(System.in, System.out, System.err));
    }
}
