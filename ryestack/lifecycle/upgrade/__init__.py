"""Two processes of one relay while one takes over from the other: who serves, what each tells the other."""
